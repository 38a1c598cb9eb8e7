"""Responses whose bodies are sent piece by piece."""

from collections.abc import Callable

from aiohttp import web

# A copy of so many bytes is made, and so many wait for the caller to read.
_PIECE_BYTES = 65_536


class AnswerResponse(web.Response):
    """A response whose body is not copied whole to be sent.

    ``note_written``, if there is one, is called after each piece but the last.
    """

    note_written: Callable[[], None] | None = None
    _written_bytes = 0

    @property
    def unwritten_bytes(self) -> int:
        """Return how many bytes of the body were not written yet."""
        return count_bytes(self) - self._written_bytes

    async def write_eof(
        self,
        data: bytes = b'',  # noqa: WPS110
    ) -> None:
        """Write the body in pieces, as fast as the caller takes them."""
        writer = self._payload_writer
        body = self._body
        is_whole = self._eof_sent or self._must_be_empty_body
        if (
            is_whole
            or writer is None
            or not isinstance(body, bytes | bytearray)
        ):
            await super().write_eof(data)
            return
        left = memoryview(body)
        while len(left) > _PIECE_BYTES:
            self._written_bytes += _PIECE_BYTES
            await writer.write(left[:_PIECE_BYTES])
            left = left[_PIECE_BYTES:]
            if self.note_written is not None:
                self.note_written()
            await writer.drain()
        await web.StreamResponse.write_eof(self, bytes(left))
        # The library keeps the response until the next one of the connection.
        self._body = None
        self._written_bytes = 0


def count_bytes(response: web.StreamResponse) -> int:
    """Return the length of a response's body, 0 if it isn't in memory."""
    body = response.body if isinstance(response, web.Response) else None
    return len(body) if isinstance(body, bytes | bytearray) else 0


def count_unwritten(response: web.StreamResponse) -> int:
    """Return how many bytes of a response were not written yet."""
    if isinstance(response, AnswerResponse):
        return response.unwritten_bytes
    return count_bytes(response)
