"""TCP proxy on the loopback address that can disturb its connections."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from crocusshunt.soak._link_rates import LinkRate
from crocusshunt.standin import LOOPBACK

_CHUNK_BYTES = 65_536
# On a narrow link small parts of all connections pass in turn.
_NARROW_CHUNK_BYTES = 1_460
_DELAY_S = 0.15

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


class LinkFault(Enum):
    """How a proxy disturbs the connections that it forwards.

    With ``delay`` it forwards all bytes late, with ``reset`` it resets all
    connections. With ``silence`` it drops the bytes of both directions, with
    ``lose_answers`` only those from the target. A connection that lost bytes
    stays open and forwards nothing more, also when the fault is over.
    """

    none = 'none'
    delay = 'delay'
    reset = 'reset'
    silence = 'silence'
    lose_answers = 'lose-answers'


@dataclass(slots=True)
class Proxy:
    """Forwards connections to another address.

    :param target: ``ip:port`` that connections are forwarded to.
    :param address: ``ip:port`` that the proxy listens on, empty until it
        is started.
    :param rate: of the link, None for any number of bytes a second.
    """

    target: str
    link_fault: LinkFault = LinkFault.none
    address: str = ''
    rate: LinkRate | None = None
    _reserved: socket.socket | None = None
    _server: asyncio.Server | None = None
    _open_writers: set[Writer] = field(default_factory=set)

    @property
    def is_open(self) -> bool:
        """Tell whether the proxy accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self) -> None:
        """Listen on a free port."""
        self._reserved = _reserve_port()
        host, port = self._reserved.getsockname()
        self.address = f'{host}:{port}'
        await self.reopen()

    async def reopen(self) -> None:
        """Listen on the port again."""
        _host, _separator, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, int(port)
        )

    def stop(self) -> None:
        """Close the port and all connections for good."""
        self.shut()
        if self._reserved is not None:
            self._reserved.close()

    def shut(self) -> None:
        """Reset all connections, and refuse new ones until it is reopened."""
        self.reset_all()
        self.close_port()

    def close_port(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._open_writers):
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        if self.link_fault is LinkFault.reset:
            writer.transport.abort()
            return
        host, _separator, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._open_writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, self._disturb_request),
                self._forward(target_reader, writer, self._disturb_response),
            )
        finally:
            self._drop(writers)

    async def _read(self, reader: Reader) -> bytes:
        """Return the next bytes once the link has carried them."""
        rate = self.rate
        if rate is None:
            return await reader.read(_CHUNK_BYTES)
        content = await reader.read(_NARROW_CHUNK_BYTES)
        await rate.take(len(content))
        return content

    def _drop(self, writers: set[Writer]) -> None:
        self._open_writers -= writers
        for writer in writers:
            writer.transport.abort()

    async def _forward(
        self,
        reader: Reader,
        writer: Writer,
        admits: Callable[[Writer], Awaitable[bool]],
    ) -> None:
        """Forward one direction until the end of its stream.

        :param admits: disturbs the connection as wanted, and tells whether
            the bytes just read are forwarded.
        """
        try:
            is_silent = False
            while content := await self._read(reader):
                is_silent = is_silent or not await admits(writer)
                if not is_silent:
                    writer.write(content)
                    await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def _disturb_request(self, writer: Writer) -> bool:
        """Disturb bytes to the target; tell whether they are forwarded."""
        if self.link_fault is LinkFault.reset:
            writer.transport.abort()
        if self.link_fault is LinkFault.delay:
            await asyncio.sleep(_DELAY_S)
        return self.link_fault is not LinkFault.silence

    async def _disturb_response(self, writer: Writer) -> bool:
        """Disturb bytes from the target; tell whether they are forwarded."""
        if self.link_fault is LinkFault.lose_answers:
            return False
        return await self._disturb_request(writer)


def _reserve_port() -> socket.socket:
    """Return a socket that keeps a port from other use and never listens."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((LOOPBACK, 0))
    return reserved
