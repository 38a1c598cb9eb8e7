"""Answers that callers read slowly or not at all."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import pytest
from aiohttp import web

from crocusshunt.front._ingress import Port
from crocusshunt.front.tests._backend import NAMES, sign
from crocusshunt.front.tests._cuts import CutKind, cut_from_servers
from crocusshunt.front.tests._deployment import KEY, Deployment, deploy
from crocusshunt.ingress import EndCause
from crocusshunt.standin import describe_route
from crocusshunt.upstream import BufferLimit

_LARGE_BYTES = 2_000_000
# More than the kernel keeps for a caller.
_LARGEST_BYTES = 12_000_000
_SIZES = {'large': _LARGE_BYTES, 'largest': _LARGEST_BYTES}
_WINDOW_BYTES = 16_384
_PIECE_BYTES = 65_536
_CALLER_COUNT = 12
_PIPELINED_COUNT = 8
# What one connection may keep: an answer that is sent, and early ones.
_CONNECTION_BYTES = _LARGE_BYTES + 3_000_000 + 8 * 65_536
_WAIT_S = 8
_NAMES = tuple('abcdefgh')


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


@dataclass(slots=True)
class _Caller:
    """A caller that reads only what it is told to."""

    sock: socket.socket

    async def ask(self, *names: str, path: str = 'large') -> None:
        """Send a request for each name at once, which is its id, too."""
        heads = (
            f'GET /a/{path} HTTP/1.1\r\nHost: a.example\r\n'
            f'Authorization: Token {KEY}\r\n{NAMES.request_id}: {name}\r\n'
            f'{NAMES.deadline_ms}: 6000\r\n\r\n'
            for name in names
        )
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, ''.join(heads).encode())

    async def read(self, size: int, pause_s: float = 0) -> bytes:
        """Read until the end, or until enough has come."""
        received = bytearray()
        loop = asyncio.get_running_loop()
        while len(received) < size:
            piece = await loop.sock_recv(self.sock, _PIECE_BYTES)
            if not piece:
                break
            received += piece
            await asyncio.sleep(pause_s)
        return bytes(received)

    async def read_rest(self) -> bytes:
        """Read until nothing has come for a while."""
        received = bytearray()
        while True:
            try:
                async with asyncio.timeout(1.5):
                    received += await self.read(1)
            except TimeoutError:
                return bytes(received)


@asynccontextmanager
async def _call(deployment: Deployment) -> AsyncIterator[_Caller]:
    address = deployment.service.settings.front_address
    host, _separator, port = address.rpartition(':')
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        sock.setblocking(False)  # noqa: WPS425
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        yield _Caller(sock)


@asynccontextmanager
async def _deploy(*names: str) -> AsyncIterator[Deployment]:
    async with deploy(*(names or ('s1', 's2', 's3'))) as deployment:
        for backend in deployment.backends:
            backend.override = _answer
        yield deployment


async def _answer(request: web.Request) -> web.Response | None:
    size = _SIZES.get(request.path.rpartition('/')[2])
    if size is None:
        return None
    name = request.headers[NAMES.request_id]
    return sign(request, web.Response(body=name.encode() * size))


async def _wait_until(is_true: Callable[[], bool]) -> None:
    async with asyncio.timeout(_WAIT_S):
        while not is_true():
            await asyncio.sleep(0.02)


def _get_limit(deployment: Deployment) -> BufferLimit:
    components = deployment.service._components  # noqa: SLF001
    return components.cluster.connections.buffer_limit


async def test_unread_answers_keep_within_the_share_of_a_connection() -> None:
    """All requests that were sent at once had their answers kept."""
    async with _deploy() as deployment, _call(deployment) as caller:
        limit = _get_limit(deployment)
        await caller.ask(*_NAMES)
        await _wait_until(lambda: limit.kept_bytes > _PIECE_BYTES)
        await asyncio.sleep(1)
        kept = limit.kept_bytes + limit.used_bytes
        assert _PIECE_BYTES < kept <= _CONNECTION_BYTES
    await _wait_until(lambda: not limit.kept_bytes + limit.used_bytes)


async def test_slow_caller_gets_whole_answers_in_their_order() -> None:
    """Those that waited for their turn are read from the server then."""
    async with _deploy() as deployment, _call(deployment) as caller:
        await caller.ask(*_NAMES)
        received = await caller.read(8 * _LARGE_BYTES, pause_s=0.001)
        received += await caller.read(_PIECE_BYTES // 64)
        ends = [received.rindex(name * 1000) for name in _split(b'abcdefgh')]
        counts = [received.count(name * 1000) for name in _split(b'abcdefgh')]
    assert received.count(b'200 OK') == 8
    assert ends == sorted(ends)
    assert min(counts) >= _LARGE_BYTES // 1000 - 1


async def test_others_are_answered_while_unread_answers_fill_the_room() -> None:
    """A long answer gets room, too, from one that is not read."""
    async with AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(_deploy())
        limit = _get_limit(deployment)
        limit.max_total_bytes = 3 * _LARGE_BYTES
        for _ in range(_CALLER_COUNT):
            caller = await stack.enter_async_context(_call(deployment))
            await caller.ask(*_NAMES)
        peak = 0
        for number in range(40):
            status, text, _response = await deployment.send(f'/a/{number}')
            assert status == 200, text
            peak = max(peak, limit.kept_bytes + limit.used_bytes)
            await asyncio.sleep(0.05)
        free = _CALLER_COUNT * _PIPELINED_COUNT * _PIECE_BYTES
        assert peak <= limit.max_total_bytes + limit.max_answer_bytes + free
        assert peak <= 4 * _LARGE_BYTES + 2 * free
        reader = await stack.enter_async_context(_call(deployment))
        await reader.ask('z')
        received = await reader.read(_LARGE_BYTES)
    assert received.startswith(b'HTTP/1.1 200 OK')
    await _wait_until(lambda: not limit.kept_bytes + limit.used_bytes)


async def test_unread_answers_are_no_load_of_their_server() -> None:
    """Their server has answered, and others are not refused for them."""
    async with AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(_deploy('s1'))
        limit = _get_limit(deployment)
        limit.max_total_bytes = 3 * _LARGE_BYTES
        for _ in range(_CALLER_COUNT):
            caller = await stack.enter_async_context(_call(deployment))
            await caller.ask(*_NAMES)
        await _wait_until(lambda: limit.used_bytes > 2 * _LARGE_BYTES)
        components = deployment.service._components  # noqa: SLF001
        state = components.heartbeat_loop.planner.state
        load = state.find_load('s1')
        await _wait_until(lambda: load.in_flight <= 1)
        assert limit.used_bytes > 2 * _LARGE_BYTES
        for number in range(40):
            status, text, _response = await deployment.send(f'/a/{number}')
            assert status == 200, text
            await asyncio.sleep(0.05)


async def test_load_that_a_held_answer_names_is_as_old_as_its_head(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was taken for the load at the time when its body was whole."""
    monkeypatch.setattr('crocusshunt.upstream._buffering._MAX_ROOM_WAIT_S', 9)

    async def answer_full(request: web.Request) -> web.Response | None:
        response = await _answer(request)
        if response is not None:
            response.headers[NAMES.load] = '4,44,4'
        return response

    async with _deploy('s1') as deployment:
        deployment.backends[0].override = answer_full
        limit = _get_limit(deployment)
        components = deployment.service._components  # noqa: SLF001
        state = components.heartbeat_loop.planner.state
        load = state.find_load('s1')
        limit.get_spare = int
        asking = asyncio.create_task(deployment.send('/a/large'))
        await _wait_until(lambda: load.reported == 48)
        await asyncio.sleep(2)
        limit.get_spare = _get_much
        assert (await asking)[0] == 200
        loop = asyncio.get_running_loop()
        # What was reported two seconds ago, by the decay of reports.
        assert load.estimate(loop.time()) < 48 / 2


async def test_wait_for_room_is_no_time_of_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('crocusshunt.upstream._buffering._MAX_ROOM_WAIT_S', 9)
    async with _deploy('s1') as deployment:
        limit = _get_limit(deployment)
        components = deployment.service._components  # noqa: SLF001
        state = components.heartbeat_loop.planner.state
        before_s = state.times.estimate_slot_release('pool', 1, 's1')
        limit.get_spare = int
        asking = asyncio.create_task(deployment.send('/a/large'))
        await _wait_until(lambda: limit.used_bytes > 0)
        await asyncio.sleep(2)
        limit.get_spare = _get_much
        assert (await asking)[0] == 200
        after_s = state.times.estimate_slot_release('pool', 1, 's1')
        assert after_s < before_s


async def test_host_without_room_for_answers_blames_no_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The server was passed over, and no request reached it for a while."""
    monkeypatch.setattr('crocusshunt.upstream._buffering._MAX_ROOM_WAIT_S', 0.3)
    async with _deploy() as deployment:
        limit = _get_limit(deployment)
        limit.get_spare = int
        for _ in range(12):
            reply = await deployment.send('/a/large')
            assert reply[:2] == (504, 'timeout')
        health = deployment.service._components.cluster.health  # noqa: SLF001
        for backend in deployment.backends:
            assert not health.find(backend.name).ejected_until
        assert len(_list_received(deployment)) == 12
        status, text, _response = await deployment.send('/a/small')
        assert status == 200, text


async def test_server_that_gives_up_an_unread_answer_is_not_passed_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The host didn't read it, and took that for a failure of the server."""
    monkeypatch.setattr('crocusshunt.upstream._buffering._MAX_ROOM_WAIT_S', 9)

    async def give_up(request: web.Request) -> None:
        if request.path != '/a/large':
            return
        begun = sign(request, web.Response())
        response = web.StreamResponse(headers=begun.headers)
        response.content_length = _LARGE_BYTES
        await response.prepare(request)
        await response.write(b'a' * _PIECE_BYTES * 2)
        await asyncio.sleep(0.2)
        assert request.transport is not None
        request.transport.abort()

    async with _deploy('s1') as deployment:
        deployment.backends[0].override = give_up
        limit = _get_limit(deployment)
        for _ in range(12):
            limit.get_spare = int
            asking = asyncio.create_task(deployment.send('/a/large'))
            await asyncio.sleep(0.5)
            limit.get_spare = _get_much
            assert (await asking)[0] == 502
        health = deployment.service._components.cluster.health  # noqa: SLF001
        assert not health.find('s1').ejected_until
        assert (await deployment.send('/a/small'))[0] == 200


async def test_host_without_room_for_a_relayed_answer_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The error of the commit before was handled for servers alone: 500."""
    monkeypatch.setattr('crocusshunt.upstream._buffering._MAX_ROOM_WAIT_S', 0.3)
    async with deploy('s1', domains=('a1', 'a1')) as deployment:
        backend = deployment.backends[0]
        backend.override = _answer
        await deployment.wait_for_sync(2)
        host = deployment.hosts[0]
        with cut_from_servers(host, [backend.address], CutKind.refused):
            await deployment.send('/a/first')
            reach = host._components.reach  # noqa: SLF001
            await _wait_until(lambda: reach.is_cut_off)
            reply = await deployment.send('/a/small')
            assert reply[:2] == (200, 's1')
            _get_limit(deployment).get_spare = int
            reply = await deployment.send('/a/large')
            assert reply[:2] == (504, 'timeout')


async def test_caller_that_takes_nothing_is_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its answer was kept for as long as it left the connection open."""
    monkeypatch.setattr('crocusshunt.front._pace._MAX_STALL_S', 1)
    async with _deploy() as deployment, _call(deployment) as caller:
        limit = _get_limit(deployment)
        await caller.ask('a', path='largest')
        await _wait_until(lambda: limit.kept_bytes > _PIECE_BYTES)
        await _wait_until(lambda: not limit.kept_bytes)
        received = await caller.read(_LARGEST_BYTES)
        ingress = deployment.service._components.ingress  # noqa: SLF001
        assert ingress.ended == {(Port.callers, EndCause.unread): 1}
        assert not ingress.ledger.total
    assert len(received) < _LARGEST_BYTES


async def test_caller_that_takes_little_at_a_time_is_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time for an answer is bounded, whatever progress it makes."""
    pace = 'crocusshunt.front._pace'
    monkeypatch.setattr(f'{pace}._MAX_SENDING_S', 1)
    monkeypatch.setattr(f'{pace}._MIN_BYTES_PER_S', 2_000_000)
    async with _deploy() as deployment, _call(deployment) as caller:
        limit = _get_limit(deployment)
        await caller.ask('a', path='largest')
        reading = asyncio.create_task(caller.read(_LARGEST_BYTES, 0.2))
        await _wait_until(lambda: limit.kept_bytes > _PIECE_BYTES)
        await _wait_until(lambda: not limit.kept_bytes)
        reading.cancel()
    assert not reading.done() or reading.cancelled()


async def test_ready_answers_wait_for_a_slow_server_without_harm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """That nothing is sent in front of them is not their caller's fault."""
    monkeypatch.setattr('crocusshunt.front._pace._MAX_STALL_S', 0.5)

    async def hold_first(request: web.Request) -> web.Response | None:
        if request.headers[NAMES.request_id] == 'a':
            await asyncio.sleep(3)
        return await _answer(request)

    async with _deploy() as deployment, _call(deployment) as caller:
        for backend in deployment.backends:
            backend.override = hold_first
        await caller.ask('a', 'b')
        received = await caller.read(2 * _LARGE_BYTES)
    assert received.count(b'200 OK') == 2


async def test_request_whose_early_answer_waits_runs_once() -> None:
    """It is not sent again, and its customer's rate does not matter by then."""
    async with _deploy() as deployment, _call(deployment) as caller:
        await caller.ask('a', 'b', 'c', 'd')
        await asyncio.sleep(1)
        deployment.configure(describe_route(), rate=0.001)
        await deployment.wait_for_sync(0.5)
        received = await caller.read(4 * _LARGE_BYTES)
        received += await caller.read_rest()
        run = sorted(_get_id(one) for one in _list_received(deployment))
    assert run == list('abcd')
    assert received.count(b'HTTP/1.1 200 ') == 4
    assert received.count(b'HTTP/1.1 ') == 4


def _get_much() -> float:
    return float('inf')


def _list_received(deployment: Deployment) -> list[web.Request]:
    return [one for backend in deployment.backends for one in backend.received]


def _get_id(request: web.Request) -> str:
    return request.headers[NAMES.request_id]


def _split(names: bytes) -> list[bytes]:
    return [bytes([name]) for name in names]
