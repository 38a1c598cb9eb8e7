"""Bodies of requests on their way from the parser to the handler."""

from dataclasses import dataclass, field

from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from crocusshunt.http1 import (
    ChunkedBody,
    ReadLimits,
    RequestHead,
    RequestReadError,
    SizedBody,
)

_BUFFER_BYTES = 65_536


@dataclass(slots=True)
class IncomingBody:
    """The body of a request that is being received.

    :param payload: where the handler reads it.
    :param is_discarded: whether the response was begun, so that nobody reads
        the rest.
    """

    payload: StreamReader
    _decoder: SizedBody | ChunkedBody
    is_discarded: bool = False
    _pieces: list[bytes] = field(default_factory=list)

    @property
    def is_ended(self) -> bool:
        """Tell whether the whole body was decoded."""
        return self._decoder.is_ended

    def decode(self, received: bytearray) -> bool:
        """Take the next part; return whether bytes are left to be decoded.

        :raises RequestReadError: the body can't be read.
        """
        piece = self._decoder.decode(received)
        if piece:
            self._pieces.append(piece)
        return bool(received) and piece is not None

    def pass_on(self) -> None:
        """Let the handler have what was decoded."""
        if self._pieces:
            joined = b''.join(self._pieces)
            self._pieces.clear()
            self.payload.feed_data(joined)

    def end(self) -> None:
        """Let the handler have the end of the body."""
        self.pass_on()
        # Lets the connection receive again if the last piece was too much.
        self.payload.feed_eof()

    def fail(self, error: RequestReadError) -> None:
        """Let an error end the body."""
        self._pieces.clear()
        if not self.is_discarded:
            self.payload.set_exception(web.RequestPayloadError(str(error)))
        self.payload.feed_eof()


def open_body(
    head: RequestHead, limits: ReadLimits, protocol: web.RequestHandler
) -> IncomingBody | None:
    """Return the body that follows a head, None for a request without one."""
    decoder: SizedBody | ChunkedBody
    if head.body_bytes is None:
        decoder = ChunkedBody(limits)
    elif head.body_bytes:
        decoder = SizedBody(head.body_bytes)
    else:
        return None
    loop = protocol._loop  # noqa: SLF001
    return IncomingBody(
        StreamReader(protocol, _BUFFER_BYTES, loop=loop), decoder
    )


def find_payload(body: IncomingBody | None) -> StreamReader:
    """Return where the handler reads a body."""
    return EMPTY_PAYLOAD if body is None else body.payload
