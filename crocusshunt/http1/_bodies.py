"""Decoding of request bodies, piece by piece."""

import re
from dataclasses import dataclass

from crocusshunt.http1._errors import HeadTooLargeError, MalformedRequestError
from crocusshunt.http1._heads import parse_field
from crocusshunt.http1._limits import ReadLimits

_CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?'
)
_HEXADECIMAL_BASE = 16
_LINE_END = b'\r\n'
# Bytes of chunk lines that a body may have beside those of its chunks, and for
# each byte of these: chunks of one byte take five, extensions more.
_FREE_FRAMING_BYTES = 16_384
_FRAMING_FACTOR = 16


@dataclass(slots=True)
class SizedBody:
    r"""A body whose size is known.

    >>> body = SizedBody(3)
    >>> received = bytearray(b'abcGET /')
    >>> body.decode(received), received, body.is_ended
    (b'abc', bytearray(b'GET /'), True)
    """

    left: int

    @property
    def is_ended(self) -> bool:
        """Tell whether the whole body was decoded."""
        return not self.left

    def decode(self, received: bytearray) -> bytes:
        """Take the next bytes of the body from those received."""
        piece = bytes(received[: self.left])
        del received[: self.left]  # noqa: WPS420
        self.left -= len(piece)
        return piece


@dataclass(slots=True)
class ChunkedBody:
    r"""A body in chunks.

    One call decodes one line or one piece of a chunk.

    >>> body = ChunkedBody(ReadLimits())
    >>> received = bytearray(b'3\r\nabc\r\n0\r\n\r\n')
    >>> [body.decode(received) for _ in range(5)]
    [b'', b'abc', b'', b'', b'']
    >>> body.is_ended
    True
    """

    limits: ReadLimits
    is_ended: bool = False
    _chunk_left: int = 0
    # Whether the end of the line after a chunk is due.
    _is_after_chunk: bool = False
    _is_in_trailers: bool = False
    _trailer_bytes: int = 0
    _framing_bytes: int = 0
    _decoded_bytes: int = 0

    def decode(self, received: bytearray) -> bytes | None:
        """Take the next part of the body from the bytes received.

        :return: bytes of a chunk, empty after a line, None if more bytes have
            to be received first.
        :raises RequestReadError: the body can't be read.
        """
        if self._chunk_left:
            return self._decode_chunk(received) if received else None
        line = self._take_line(received)
        if line is None:
            return None
        if self._is_after_chunk:
            self._is_after_chunk = False
            if line:
                raise MalformedRequestError('chunk')
        elif self._is_in_trailers:
            self._read_trailer(line)
        else:
            self._begin_chunk(line)
        return b''

    def _read_trailer(self, line: bytes) -> None:
        """Check a trailer, which isn't needed; an empty line ends the body."""
        self.is_ended = not line
        if line:
            parse_field(line)

    def _decode_chunk(self, received: bytearray) -> bytes:
        piece = bytes(received[: self._chunk_left])
        del received[: self._chunk_left]  # noqa: WPS420
        self._chunk_left -= len(piece)
        self._decoded_bytes += len(piece)
        self._is_after_chunk = not self._chunk_left
        return piece

    def _begin_chunk(self, line: bytes) -> None:
        found = _CHUNK_LINE.fullmatch(line)
        if found is None:
            raise MalformedRequestError('chunk size')
        self._chunk_left = int(found[1], _HEXADECIMAL_BASE)
        self._is_in_trailers = not self._chunk_left

    def _take_line(self, received: bytearray) -> bytes | None:
        limit = self._find_line_limit()
        end = received.find(_LINE_END, 0, limit + len(_LINE_END))
        if end < 0:
            if len(received) >= limit + len(_LINE_END):
                raise HeadTooLargeError('line of a body')
            return None
        line = bytes(received[:end])
        size = end + len(_LINE_END)
        del received[:size]  # noqa: WPS420
        self._count(size)
        return line

    def _find_line_limit(self) -> int:
        if self._is_in_trailers:
            return max(0, self.limits.field_bytes - self._trailer_bytes)
        return self.limits.chunk_line_bytes

    def _count(self, size: int) -> None:
        if self._is_in_trailers:
            self._trailer_bytes += size
            return
        self._framing_bytes += size
        allowed = _FREE_FRAMING_BYTES + _FRAMING_FACTOR * self._decoded_bytes
        if self._framing_bytes > allowed:
            raise HeadTooLargeError('lines of a body')
