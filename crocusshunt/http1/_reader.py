"""Reading of one request head from received bytes."""

from dataclasses import dataclass, field

from crocusshunt.http1._errors import MalformedRequestError
from crocusshunt.http1._heads import RequestHead, parse_head
from crocusshunt.http1._limits import ReadLimits
from crocusshunt.http1._scanner import HeadScanner

_LINE_END_BYTES = b'\r\n'


@dataclass(slots=True)
class HeadReader:
    r"""Reads one head and the empty lines before it.

    >>> reader = HeadReader(ReadLimits())
    >>> received = bytearray(b'\r\nGET /x HTTP/1.1\r\nHost: a\r\n')
    >>> reader.take(received)
    >>> received += b'\r\nrest'
    >>> reader.take(received).target, received
    ('/x', bytearray(b'rest'))
    """

    limits: ReadLimits
    _scanner: HeadScanner = field(default_factory=HeadScanner)
    _empty_bytes: int = 0

    def take(self, received: bytearray) -> RequestHead | None:
        """Take a head from the bytes received, None if it isn't whole yet.

        :raises RequestReadError: it can't be read.
        """
        self._drop_empty_lines(received)
        if not received:
            return None
        size = self._scanner.find_end(received, self.limits)
        if size is None:
            return None
        head = parse_head(bytes(received[:size]))
        del received[:size]  # noqa: WPS420
        return head

    def _drop_empty_lines(self, received: bytearray) -> None:
        if not received.startswith((b'\r', b'\n')):
            return
        dropped = len(received) - len(received.lstrip(_LINE_END_BYTES))
        del received[:dropped]  # noqa: WPS420
        self._empty_bytes += dropped
        if self._empty_bytes > self.limits.field_bytes:
            raise MalformedRequestError('empty lines')
