"""Finding of the end of a request's head in received bytes."""

import re
from dataclasses import dataclass

from crocusshunt.http1._errors import HeadTooLargeError
from crocusshunt.http1._limits import ReadLimits

# A line may end with LF alone: such a head is whole, too, and malformed.
_EMPTY_LINE = re.compile(rb'\n\r?\n')
_LINE_END = b'\n'
# Longest end of a line and empty line after it.
_END_BYTES = 4


@dataclass(slots=True)
class HeadScanner:
    r"""Finds the end of one head, looking at each byte once.

    >>> scanner = HeadScanner()
    >>> received = bytearray(b'GET / HTTP/1.1\r\nHost: a\r\n')
    >>> scanner.find_end(received, ReadLimits())
    >>> received += b'\r\nrest'
    >>> scanner.find_end(received, ReadLimits())
    27
    """

    _scanned: int = 0
    # Where the fields begin, 0 before the end of the request line was seen.
    _fields_at: int = 0

    def find_end(self, received: bytearray, limits: ReadLimits) -> int | None:
        """Return the size of the head, None if it isn't whole yet.

        :param received: all bytes since the begin of the head; later calls get
            the same ones and more.
        :raises HeadTooLargeError: it is longer than the limits allow.
        """
        if not self._fields_at:
            line_end = received.find(_LINE_END, self._scanned)
            _check_size(
                len(received) if line_end < 0 else line_end, limits.field_bytes
            )
            self._fields_at = line_end + 1
        if not self._fields_at:
            self._scanned = len(received)
            return None
        found = _EMPTY_LINE.search(
            received, max(self._fields_at - 1, self._scanned - _END_BYTES)
        )
        end = len(received) if found is None else found.end()
        _check_size(end - self._fields_at - _END_BYTES, limits.field_bytes)
        self._scanned = len(received)
        return None if found is None else end


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise HeadTooLargeError('head too large')
