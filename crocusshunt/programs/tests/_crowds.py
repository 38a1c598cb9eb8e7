"""Crowds of clients that do not behave; a decorator registers each kind."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

# Bytes that all clients of a crowd send together, at most.
_SENT_BYTES = 600_000_000
_WORK_S = 3.0
# A client that was turned away comes again after this time.
_PAUSE_S = 0.05
_RECEIVE_BUFFER_BYTES = 4096
_BLOCK = b'a' * 65_536
_LONG_ANSWER_BYTES = 2_000_000
_BODY_BYTES = 1_000_000

HOST_NAME = 'a.example'
KEY = 'secret-key'
_FIELDS = f'Host: {HOST_NAME}\r\nAuthorization: Token {KEY}\r\n'
_GET = f'GET /a/x HTTP/1.1\r\n{_FIELDS}'.encode()
_POST = f'POST /a/x HTTP/1.1\r\n{_FIELDS}'.encode()
_CHUNKED = b''.join((_POST, b'Transfer-Encoding: chunked\r\n\r\n'))
_LONG_GET = f'GET /a/x?bytes={_LONG_ANSWER_BYTES} HTTP/1.1\r\n{_FIELDS}\r\n'
_FIELD_LINES = b'X-Field: some text\r\n' * 3000


class CrowdClient:
    """One client of a crowd, with one connection after the other."""

    def __init__(self, crowd: 'CrowdRun', number: int) -> None:
        """Create a client that is not yet connected.

        :param number: place among the clients of its crowd.
        """
        self.number = number
        self._crowd = crowd
        self._connection: socket.socket | None = None

    async def come(self) -> None:
        """Connect, do what the crowd does, and come again when that ends."""
        while True:
            try:
                await self._connect()
                await self._crowd.kind.act(self)
            except OSError:
                await asyncio.sleep(_PAUSE_S)
            self.close()
            await asyncio.sleep(0)

    def close(self) -> None:
        """Close the connection if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def send(self, *parts: bytes) -> None:
        """Send bytes; wait for ever when the crowd has sent enough."""
        content = b''.join(parts)
        self._crowd.unsent_bytes -= len(content)
        if self._crowd.unsent_bytes < 0:
            await self.hold()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._connected, content)

    async def receive(self, size: int) -> None:
        """Read a few bytes and drop them.

        :raises ConnectionError: the host has closed the connection.
        """
        loop = asyncio.get_running_loop()
        if not await loop.sock_recv(self._connected, size):
            raise ConnectionError('closed by the host')

    async def repeat(self, content: bytes) -> None:
        """Send the same bytes without end."""
        while True:
            await self.send(content)
            await asyncio.sleep(0)

    async def hold(self) -> None:
        """Keep the connection and do nothing."""
        await asyncio.Event().wait()

    @property
    def _connected(self) -> socket.socket:
        if self._connection is None:
            raise ConnectionError('not connected')
        return self._connection

    async def _connect(self) -> None:
        self._connection = socket.socket()
        self._connection.setblocking(False)  # noqa: WPS425
        self._connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        host, _separator, port = self._crowd.address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._connection, (host, int(port)))


Act = Callable[[CrowdClient], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CrowdKind:
    """What all clients of a crowd do.

    :param clients: how many work at once.
    """

    act: Act
    clients: int


@dataclass(slots=True)
class CrowdRun:
    """A crowd that works against one address.

    :param address: ``ip:port`` of the host.
    :param unsent_bytes: what the clients together may still send.
    """

    kind: CrowdKind
    address: str
    unsent_bytes: int = _SENT_BYTES
    _clients: list[CrowdClient] = field(default_factory=list)

    async def work(self) -> None:
        """Let all clients work for the time of a crowd.

        They keep their connections after that, but do nothing.
        """
        self._clients = [
            CrowdClient(self, number) for number in range(self.kind.clients)
        ]
        tasks = [asyncio.create_task(one.come()) for one in self._clients]
        try:
            done, _pending = await asyncio.wait(
                tasks, timeout=_WORK_S, return_when=asyncio.FIRST_EXCEPTION
            )
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for ended in done:
            ended.result()

    def leave(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()


CROWDS: dict[str, CrowdKind] = {}
# Kinds that also come to the other ports, and before a configuration.
HEAD_KINDS: list[Act] = []


def register_crowd(name: str, clients: int) -> Callable[[Act], Act]:
    """Return a decorator that registers what the clients of a kind do."""

    def register(act: Act) -> Act:
        CROWDS[name] = CrowdKind(act, clients)
        return act

    return register


def _register_head(act: Act) -> Act:
    HEAD_KINDS.append(act)
    return act


@register_crowd('field-without-end', clients=20)
@_register_head
async def _send_endless_field(client: CrowdClient) -> None:
    await client.send(_GET, b'X-Long: ')
    await client.repeat(_BLOCK)


@register_crowd('request-line-without-end', clients=20)
@_register_head
async def _send_endless_line(client: CrowdClient) -> None:
    await client.send(b'GET /a/')
    await client.repeat(_BLOCK)


@register_crowd('fields-without-end', clients=40)
@_register_head
async def _send_endless_fields(client: CrowdClient) -> None:
    await client.send(_GET)
    await client.repeat(_FIELD_LINES)


@register_crowd('bytes-after-a-head-over-the-limit', clients=20)
@_register_head
async def _send_more_than_refused(client: CrowdClient) -> None:
    await client.send(_GET, b'X-Long: ', _BLOCK, b'\r\n\r\n')
    await client.repeat(_BLOCK)


async def send_heads_in_turn(client: CrowdClient) -> None:
    """Do what one of the kinds that send heads does, each a share."""
    await HEAD_KINDS[client.number % len(HEAD_KINDS)](client)


@register_crowd('empty-lines-crlf', clients=120)
async def _send_empty_lines(client: CrowdClient) -> None:
    await client.repeat(b'\r\n' * 8000)


@register_crowd('empty-lines-lf', clients=120)
async def _send_bare_line_feeds(client: CrowdClient) -> None:
    await client.repeat(b'\n' * 16_000)


@register_crowd('chunks-of-one-byte', clients=40)
async def _send_small_chunks(client: CrowdClient) -> None:
    await client.send(_CHUNKED)
    await client.repeat(b'1\r\na\r\n' * 3000)


@register_crowd('chunk-extension-without-end', clients=40)
async def _send_endless_extension(client: CrowdClient) -> None:
    await client.send(_CHUNKED, b'1;name=')
    await client.repeat(_BLOCK)


@register_crowd('trailers-without-end', clients=40)
async def _send_endless_trailers(client: CrowdClient) -> None:
    await client.send(_CHUNKED, b'0\r\n')
    await client.repeat(_FIELD_LINES)


@register_crowd('trailers-left', clients=40)
async def _leave_within_trailers(client: CrowdClient) -> None:
    await client.send(_CHUNKED, b'0\r\n', _FIELD_LINES)
    await asyncio.sleep(_PAUSE_S)


@register_crowd('body-by-a-trickle-left', clients=40)
async def _leave_within_body(client: CrowdClient) -> None:
    await client.send(_POST, b'Content-Length: 1000\r\n\r\n')
    for _ in range(5):
        await client.send(b'a')
        await asyncio.sleep(_PAUSE_S)


@register_crowd('bodies-without-their-end', clients=200)
async def _keep_end_of_body(client: CrowdClient) -> None:
    length = f'Content-Length: {_BODY_BYTES}\r\n\r\n'.encode()
    await client.send(_POST, length, b'a' * (_BODY_BYTES - 1))
    await client.hold()


@register_crowd('pipelined-long-answers-unread', clients=40)
async def _ask_long_answers(client: CrowdClient) -> None:
    await client.send(_LONG_GET.encode() * 10)
    await client.hold()


@register_crowd('long-answers-by-a-trickle', clients=100)
async def _read_slowly(client: CrowdClient) -> None:
    await client.send(_LONG_GET.encode())
    while True:
        await client.receive(1000)
        await asyncio.sleep(_PAUSE_S)


@register_crowd('long-answers-unread', clients=100)
async def _ask_long_answer(client: CrowdClient) -> None:
    await client.send(_LONG_GET.encode())
    await client.hold()


@register_crowd('pipelined-without-end', clients=40)
async def _ask_without_end(client: CrowdClient) -> None:
    await client.repeat(b''.join((_GET, b'\r\n')) * 100)


@register_crowd('head-by-a-trickle', clients=320)
async def _trickle_head(client: CrowdClient) -> None:
    for code in _GET:
        await client.send(bytes((code,)))
        await asyncio.sleep(1)


@register_crowd('without-a-byte', clients=400)
async def _send_nothing(client: CrowdClient) -> None:
    await client.hold()


@register_crowd('open-and-close', clients=40)
async def _leave_at_once(client: CrowdClient) -> None:
    await asyncio.sleep(0)
