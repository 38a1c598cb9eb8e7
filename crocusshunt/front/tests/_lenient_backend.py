"""A backend server without limits of its own on what it may be sent."""

import asyncio
from contextlib import closing, suppress
from dataclasses import dataclass, field

import h11

from crocusshunt.front.tests._backend import NAMES, Backend
from crocusshunt.standin import LOOPBACK

_MAX_HEAD_BYTES = 1_000_000
_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as the server got it.

    :param fields: names in lower case, and values.
    """

    method: str
    target: str
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def find(self, name: str) -> bytes:
        """Return the value of the first field of a name, empty without one."""
        wanted = name.lower().encode()
        return next((one for known, one in self.fields if known == wanted), b'')


@dataclass(slots=True)
class LenientBackend(Backend):
    """A backend server that takes any number of fields and any method."""

    requests: list[ReceivedRequest] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError), closing(writer):
            await self._answer_all(reader, writer)

    async def _answer_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = h11.Connection(h11.SERVER, _MAX_HEAD_BYTES)
        head, body = None, b''
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(_READ_BYTES))
            elif isinstance(event, h11.Request):
                head, body = event, b''
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                writer.write(self._answer(parser, head, body))
                parser.start_next_cycle()
            else:
                return

    def _answer(
        self, parser: h11.Connection, head: h11.Request, body: bytes
    ) -> bytes:
        received = ReceivedRequest(
            head.method.decode(),
            head.target.decode(),
            tuple((bytes(name), bytes(text)) for name, text in head.headers),
            body,
        )
        self.requests.append(received)
        content = self.name.encode()
        fields = [
            (NAMES.request_id.encode(), received.find(NAMES.request_id)),
            (NAMES.signature.encode(), b'signed'),
            (b'Content-Length', str(len(content)).encode()),
        ]
        answer = parser.send(h11.Response(status_code=200, headers=fields))
        answer += parser.send(h11.Data(data=content)) or b''
        return answer + (parser.send(h11.EndOfMessage()) or b'')
