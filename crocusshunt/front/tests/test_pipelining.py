"""Requests that callers send on a connection before earlier responses."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from aiohttp import web

from crocusshunt.front import DeploymentLimits
from crocusshunt.front._startable import WaitingRequest, count_startable
from crocusshunt.front.tests._backend import NAMES, Backend, sign
from crocusshunt.front.tests._deployment import KEY, Deployment, deploy
from crocusshunt.standin import describe_route

_READ_TIMEOUT_S = 5
_SLOW_S = 0.3
_GRACE_S = 1.5
_LARGE_BYTES = 12_000_000
_PIECE_BYTES = 500_000


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _encode_request(path: str, request_id: str, *lines: str) -> bytes:
    head = (
        f'GET {path} HTTP/1.1',
        'Host: a.example',
        f'Authorization: Token {KEY}',
        f'{NAMES.request_id}: {request_id}',
        f'{NAMES.deadline_ms}: 3000',
        *lines,
    )
    return '\r\n'.join((*head, '', '')).encode()


def _slow_down(backend: Backend, delays: dict[str, float]) -> None:
    """Make a server delay its responses by the last part of the path."""

    async def override(request: web.Request) -> None:
        await asyncio.sleep(delays.get(request.path.rpartition('/')[2], 0))

    backend.override = override


def _list_paths(backend: Backend) -> list[str]:
    return [request.path for request in backend.received]


class _Caller:
    """One connection, whose responses are read in order."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writer = writer
        self._reader = reader

    async def read_response(self) -> tuple[int, str]:
        """Return status and request id; status 0 at the end."""
        async with asyncio.timeout(_READ_TIMEOUT_S):
            head = await self._read_head()
            if not head:
                return 0, ''
            lines = head.decode().split('\r\n')
            headers = dict(
                line.lower().split(': ', 1) for line in lines[1:] if line
            )
            await self._reader.readexactly(int(headers['content-length']))
        status = int(lines[0].split(' ')[1])
        return status, headers.get(NAMES.request_id.lower(), '')

    async def read_some(self) -> int:
        """Read at most a few hundred kilobytes; return how many bytes came."""
        async with asyncio.timeout(_READ_TIMEOUT_S):
            return len(await self._reader.read(_PIECE_BYTES))

    async def read_all(self, count: int) -> list[tuple[int, str]]:
        return [await self.read_response() for _number in range(count)]

    async def _read_head(self) -> bytes:
        try:
            return await self._reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return b''


@asynccontextmanager
async def _call(deployment: Deployment) -> AsyncIterator[_Caller]:
    address = deployment.service.settings.front_address
    host, _separator, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield _Caller(reader, writer)
    finally:
        writer.close()


async def _wait_until(is_true: Callable[[], bool]) -> None:
    async with asyncio.timeout(_READ_TIMEOUT_S):
        while not is_true():
            await asyncio.sleep(0.01)


def _count_in_flight(deployment: Deployment) -> int:
    handler = deployment.service._components.handler  # noqa: SLF001
    return handler.in_flight.count


async def test_responses_keep_the_order_of_the_requests() -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        delays = {'1': 0.3, '2': 0.15, '3': 0}
        _slow_down(deployment.backends[0], delays)
        caller.writer.write(
            b''.join(_encode_request(f'/a/{name}', name) for name in delays)
        )
        assert await caller.read_all(3) == [(200, '1'), (200, '2'), (200, '3')]


async def test_requests_behind_a_slow_one_are_sent_at_once() -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        _slow_down(deployment.backends[0], {'1': 1, '2': 1, '3': 1})
        caller.writer.write(_encode_request('/a/1', '1'))
        await asyncio.sleep(0.1)
        caller.writer.write(_encode_request('/a/2', '2'))
        await asyncio.sleep(0.1)
        caller.writer.write(_encode_request('/a/3', '3'))
        await asyncio.sleep(0.2)
        assert len(deployment.backends[0].received) == 3
        assert _count_in_flight(deployment) == 3
        assert await caller.read_all(3) == [(200, '1'), (200, '2'), (200, '3')]
        assert _count_in_flight(deployment) == 0


async def test_number_of_concurrent_requests_is_bounded() -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        names = [str(number) for number in range(20)]
        _slow_down(deployment.backends[0], dict.fromkeys(names, _SLOW_S))
        for name in names:
            caller.writer.write(_encode_request(f'/a/{name}', name))
        await asyncio.sleep(_SLOW_S / 2)
        assert _count_in_flight(deployment) == 8
        assert await caller.read_all(20) == [(200, name) for name in names]


async def test_each_request_has_its_own_deadline() -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        _slow_down(deployment.backends[0], {'1': 0.6, '2': 2})
        short = _encode_request('/a/2', '2').replace(b'3000', b'300')
        caller.writer.write(_encode_request('/a/1', '1') + short)
        assert await caller.read_response() == (200, '1')
        status, request_id = await asyncio.wait_for(caller.read_response(), 0.2)
        assert (status, request_id) == (504, '2')


async def test_write_waits_for_its_turn() -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        deployment.configure(
            describe_route(prefix='/a/'),
            describe_route(prefix='/w/', kind='non_idempotent', max_attempts=1),
        )
        await deployment.wait_for_sync()
        _slow_down(deployment.backends[0], {'1': _SLOW_S})
        paths = ('/a/1', '/w/2', '/a/3')
        for path in paths:
            caller.writer.write(_encode_request(path, path[-1]))
        await asyncio.sleep(_SLOW_S / 2)
        assert _list_paths(deployment.backends[0]) == ['/a/1']
        assert await caller.read_all(3) == [(200, '1'), (200, '2'), (200, '3')]


async def test_close_in_the_middle_answers_what_was_sent_on() -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        _slow_down(deployment.backends[0], {'1': _SLOW_S, '2': 0.05})
        caller.writer.write(
            _encode_request('/a/1', '1')
            + _encode_request('/a/2', '2', 'Connection: close')
            + _encode_request('/a/3', '3')
        )
        expected = [(200, '1'), (200, '2'), (0, '')]
        assert await caller.read_all(3) == expected
        assert sorted(_list_paths(deployment.backends[0])) == ['/a/1', '/a/2']


@pytest.mark.parametrize('is_split', [False, True])
async def test_malformed_request_closes_after_the_responses_before_it(
    *, is_split: bool
) -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        _slow_down(deployment.backends[0], {'1': _SLOW_S, '2': 0})
        good = _encode_request('/a/1', '1') + _encode_request('/a/2', '2')
        caller.writer.write(good)
        if is_split:
            await asyncio.sleep(0.1)
        caller.writer.write(b'GE<>T\r\n')
        caller.writer.write(_encode_request('/a/4', '4'))
        statuses = [status for status, _name in await caller.read_all(4)]
        assert statuses == [200, 200, 400, 0]
        assert sorted(_list_paths(deployment.backends[0])) == ['/a/1', '/a/2']


async def test_caller_that_leaves_cancels_all_its_requests() -> None:
    async with deploy('s1') as deployment:
        cancelled: list[str] = []
        backend = deployment.backends[0]

        async def override(request: web.Request) -> None:
            try:
                await asyncio.sleep(_READ_TIMEOUT_S)
            except asyncio.CancelledError:
                cancelled.append(request.path)
                raise

        backend.override = override
        assert backend.runner is not None and backend.runner.server is not None
        backend.runner.server.handler_cancellation = True
        async with _call(deployment) as caller:
            for name in '123':
                caller.writer.write(_encode_request(f'/a/{name}', name))
            await _wait_until(lambda: len(backend.received) == 3)
        await _wait_until(lambda: len(cancelled) == 3)
        await _wait_until(lambda: _count_in_flight(deployment) == 0)


async def test_stop_answers_requests_in_flight_and_reads_no_more() -> None:
    async with deploy('s1') as deployment, _call(deployment) as caller:
        delays = {'1': 0.2, '2': _SLOW_S, '3': 0.1}
        _slow_down(deployment.backends[0], delays)
        for name in delays:
            caller.writer.write(_encode_request(f'/a/{name}', name))
        await _wait_until(lambda: _count_in_flight(deployment) == 3)
        stop = asyncio.create_task(deployment.service.stop())
        await asyncio.sleep(0.02)
        caller.writer.write(_encode_request('/a/4', '4'))
        expected = [(200, '1'), (200, '2'), (200, '3'), (0, '')]
        assert await caller.read_all(4) == expected
        await stop
        assert '/a/4' not in _list_paths(deployment.backends[0])


def _read(*, closes: bool = False) -> WaitingRequest:
    return WaitingRequest(is_whole=True, is_repeatable=True, closes=closes)


@pytest.mark.parametrize(
    ('waiting', 'count'),
    [
        ([], 0),
        ([_read() for _number in range(12)], 8),
        ([_read(), _read(closes=True), _read()], 2),
        ([WaitingRequest(is_whole=False, is_repeatable=True, closes=False)], 0),
        ([WaitingRequest(is_whole=True, is_repeatable=False, closes=False)], 0),
    ],
)
def test_requests_that_may_begin(
    waiting: list[WaitingRequest], count: int
) -> None:
    assert count_startable(waiting, limit=8) == count


@asynccontextmanager
async def _stop(deployment: Deployment, grace_s: float) -> AsyncIterator[None]:
    """Stop the first host; its process would be killed after a time."""
    service = deployment.service
    limits = DeploymentLimits(grace_s=grace_s)
    service.settings = replace(service.settings, limits=limits)
    loop = asyncio.get_running_loop()
    kill_at = loop.time() + grace_s
    stopping = asyncio.create_task(service.stop())
    yield
    assert loop.time() < kill_at
    await stopping
    assert loop.time() < kill_at


async def test_stop_sends_answers_that_wait_behind_a_slow_one() -> None:
    """They were dropped if the slow one outlasted the time for the stop."""
    async with deploy('s1') as deployment, _call(deployment) as caller:
        deployment.configure(describe_route(timeout_s=10))
        await deployment.wait_for_sync()
        _slow_down(deployment.backends[0], {'1': 9})
        caller.writer.write(
            b''.join(
                _encode_request(f'/a/{number}', str(number))
                for number in range(1, 5)
            )
        )
        await _wait_until(lambda: len(deployment.backends[0].received) == 4)
        async with _stop(deployment, _GRACE_S):
            assert await caller.read_response() == (504, '1')
            behind = await caller.read_all(3)
        assert behind == [(200, '2'), (200, '3'), (200, '4')]


async def test_stop_refuses_in_time_what_no_server_has() -> None:
    """A request whose body is still being read got no answer at all."""
    async with deploy('s1') as deployment, _call(deployment) as caller:
        caller.writer.write(
            b'%bpart' % _encode_request('/a/1', '1', 'Content-Length: 9')
        )
        await _wait_until(lambda: _count_in_flight(deployment) == 1)
        async with _stop(deployment, _GRACE_S):
            assert await caller.read_response() == (503, '1')
        assert not deployment.backends[0].received


async def _stop_and_count_unsent(deployment: Deployment) -> int:
    """Stop the first host; return the bytes that would go with its process."""
    service = deployment.service
    server = service._servers.request_runners[0].server  # noqa: SLF001
    assert server is not None
    transports = [one.transport for one in server.connections]
    await service.stop()
    return sum(
        one.get_write_buffer_size() for one in transports if one is not None
    )


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_stop_waits_for_callers_that_read_slowly(method: str) -> None:
    """The process ended with most of their answers still in its buffers."""

    async def answer(request: web.Request) -> web.StreamResponse:
        return sign(request, web.Response(body=bytes(_LARGE_BYTES)))

    async with deploy('s1') as deployment, _call(deployment) as caller:
        deployment.configure(describe_route(kind='non_idempotent'))
        await deployment.wait_for_sync()
        deployment.backends[0].override = answer
        sent = _encode_request('/a/1', '1')
        caller.writer.write(sent.replace(b'GET', method.encode(), 1))
        received = await caller.read_some()
        stopping = asyncio.create_task(_stop_and_count_unsent(deployment))
        while received < _LARGE_BYTES:
            await asyncio.sleep(0.05)
            received += await caller.read_some()
        assert await stopping == 0


async def test_requests_behind_a_slow_one_are_answered_by_their_timeout() -> (
    None
):
    """Those beyond the eighth began, and counted their time, after it."""
    async with deploy('s1') as deployment, _call(deployment) as caller:
        deployment.configure(describe_route(timeout_s=1))
        await deployment.wait_for_sync()
        _slow_down(deployment.backends[0], {'1': 3, '10': 3, '14': 3})
        names = [str(number) for number in range(1, 17)]
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        caller.writer.write(
            b''.join(_encode_request(f'/a/{name}', name) for name in names)
        )
        answers = await caller.read_all(len(names))
        assert loop.time() - sent_at < 1.5
    assert [name for _status, name in answers] == names
    slow = {name for status, name in answers if status != 200}
    assert slow <= {'1', '10', '14'}


async def test_write_behind_a_slow_request_is_in_time_or_not_run() -> None:
    """It began after its timeout, with all of that before it again."""
    async with deploy('s1') as deployment, _call(deployment) as caller:
        deployment.configure(
            describe_route(timeout_s=1),
            describe_route(prefix='/w/', kind='non_idempotent', timeout_s=0.5),
        )
        await deployment.wait_for_sync()
        _slow_down(deployment.backends[0], {'1': 3})
        paths = ('/a/1', '/w/2')
        caller.writer.write(
            b''.join(_encode_request(path, path[-1]) for path in paths)
        )
        answers = await caller.read_all(2)
        received = _list_paths(deployment.backends[0])
    assert answers == [(504, '1'), (503, '2')]
    assert '/w/2' not in received
