"""A proxy on the loopback address that harms what passes it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from crocusshunt.standin import LOOPBACK

_CHUNK_BYTES = 65_536
_DELAY_S = 0.15

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


class Harm(Enum):
    """What a proxy does to the bytes that pass."""

    none = 'none'
    delay = 'delay'
    reset = 'reset'
    silence = 'silence'
    lose_answers = 'lose-answers'


@dataclass(slots=True)
class Proxy:
    """Passes connections on to another port.

    :param target: ``ip:port`` that it stands before.
    """

    target: str
    harm: Harm = Harm.none
    address: str = ''
    _server: asyncio.Server | None = None
    _open: set[Writer] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve,
            LOOPBACK,
            0,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.reset_all()
        if self._server is not None:
            self._server.close()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._open):
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        if self.harm is Harm.reset:
            writer.transport.abort()
            return
        host, _separator, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._open |= pair
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, self._harm_request),
                self._pass(far_reader, writer, self._harm_answer),
            )
        finally:
            self._drop(pair)

    def _drop(self, pair: set[Writer]) -> None:
        self._open -= pair
        for writer in pair:
            writer.transport.abort()

    async def _pass(
        self,
        reader: Reader,
        writer: Writer,
        harm: Callable[[Writer], Awaitable[bool]],
    ) -> None:
        """Pass one direction on until its end."""
        try:
            while content := await reader.read(_CHUNK_BYTES):
                if await harm(writer):
                    writer.write(content)
                    await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def _harm_request(self, writer: Writer) -> bool:
        """Tell whether bytes towards the target go on."""
        if self.harm is Harm.reset:
            writer.transport.abort()
        if self.harm is Harm.delay:
            await asyncio.sleep(_DELAY_S)
        return self.harm is not Harm.silence

    async def _harm_answer(self, writer: Writer) -> bool:
        """Tell whether bytes from the target go on."""
        if self.harm is Harm.lose_answers:
            return False
        return await self._harm_request(writer)
