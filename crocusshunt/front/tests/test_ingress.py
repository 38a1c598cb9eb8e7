"""Connections of callers are bounded in number, time and kept bytes."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from crocusshunt.catalog import RequestLimits
from crocusshunt.front._ingress import Ingress, Port
from crocusshunt.front._metrics import HostCollector
from crocusshunt.front.tests._backend import NAMES, sign
from crocusshunt.front.tests._deployment import KEY, Deployment, deploy
from crocusshunt.ingress import EndCause, HostLedger, IngressLimits, Roster
from crocusshunt.metrics import render_metrics
from crocusshunt.standin import describe_route

_LIMITS = RequestLimits(header_timeout_s=0.3, idle_timeout_s=0.6)
_UNKNOWN = b'GET /a/x HTTP/1.1\r\nHost: a.example\r\n\r\n'
_PROPER = (
    f' /a/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token {KEY}\r\n'
    f'{NAMES.request_id}: req-x\r\n{NAMES.deadline_ms}: 9000\r\n\r\n'
).encode()

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def _list_addresses(deployment: Deployment) -> dict[Port, str]:
    settings = deployment.service.settings
    internal = settings.internal_port
    return {
        Port.callers: settings.front_address,
        Port.directory: settings.directory_address,
        Port.readiness: settings.ready_address,
        Port.hosts: f'{settings.ip}:{internal}',
        Port.metrics: f'{settings.ip}:{internal + 1}',
    }


def _get_ingress(deployment: Deployment) -> Ingress:
    return deployment.service._components.ingress  # noqa: SLF001


async def _connect(deployment: Deployment, port: Port) -> _Streams:
    host, number = _list_addresses(deployment)[port].split(':')
    return await asyncio.open_connection(host, int(number))


async def _connect_slowly(deployment: Deployment) -> _Streams:
    """Connect with little room for what was not read."""
    host, number = _list_addresses(deployment)[Port.callers].split(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.connect((host, int(number)))
    sock.setblocking(False)  # noqa: WPS425
    return await asyncio.open_connection(sock=sock, limit=8192)


async def _measure_life(streams: _Streams) -> float:
    """Return the seconds until the host closes a connection."""
    began_at = time.monotonic()
    try:
        async with asyncio.timeout(5):
            while await streams[0].read(65_536):
                """Read on."""
    except ConnectionError:
        """It was reset."""
    return time.monotonic() - began_at


async def _read_head(streams: _Streams) -> bytes:
    async with asyncio.timeout(5):
        return await streams[0].readuntil(b'\r\n\r\n')


@asynccontextmanager
async def _deploy_limited() -> AsyncIterator[Deployment]:
    async with deploy('s1') as deployment:
        _get_ingress(deployment).get_limits = lambda: _LIMITS
        yield deployment


@pytest.mark.parametrize('port', Port)
async def test_silent_connection_is_closed(
    port: Port, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('crocusshunt.front._ingress._MIN_HOST_IDLE_S', 0)
    async with _deploy_limited() as deployment:
        streams = await _connect(deployment, port)
        assert await _measure_life(streams) >= 0.48
        assert _get_ingress(deployment).ended[port, EndCause.idle] == 1


@pytest.mark.parametrize('port', Port)
async def test_head_must_be_whole_in_time(port: Port) -> None:
    """Its time begins with its first byte; later bytes give it no more."""
    async with _deploy_limited() as deployment:
        streams = await _connect(deployment, port)

        async def trickle() -> None:
            for byte in _UNKNOWN:
                streams[1].write(bytes((byte,)))
                await asyncio.sleep(0.05)

        sending = asyncio.create_task(trickle())
        assert await _measure_life(streams) >= 0.25
        sending.cancel()
        ended = _get_ingress(deployment).ended
        assert ended[port, EndCause.head_timeout] == 1


async def test_connection_between_requests_is_reusable() -> None:
    """It stays open for four fifths of its time, counted from each answer."""
    async with _deploy_limited() as deployment:
        streams = await _connect(deployment, Port.callers)
        for _ in range(3):
            streams[1].write(_UNKNOWN)
            assert b' 401 ' in await _read_head(streams)
            await asyncio.sleep(0.48)
        streams[1].write(_UNKNOWN)
        assert b' 401 ' in await _read_head(streams)
        assert await _measure_life(streams) >= 0.4


async def test_other_hosts_keep_idle_connections_for_longer() -> None:
    async with _deploy_limited() as deployment:
        streams = await _connect(deployment, Port.hosts)
        await asyncio.sleep(1.2)
        streams[1].write(_UNKNOWN)
        assert b' 404 ' in await _read_head(streams)
        streams[1].close()


async def test_idle_time_begins_when_the_answer_was_received() -> None:
    async def answer_long(request: web.Request) -> web.Response:
        return sign(request, web.Response(body=b'a' * 2_000_000))

    async with _deploy_limited() as deployment:
        deployment.backends[0].override = answer_long
        streams = await _connect_slowly(deployment)
        streams[1].write(b''.join((b'GET', _PROPER)))
        await _read_head(streams)
        for _ in range(20):
            await streams[0].readexactly(100_000)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.4)
        streams[1].write(_UNKNOWN)
        assert b' 401 ' in await _read_head(streams)
        streams[1].close()


async def test_slow_answer_is_not_idle() -> None:
    """A head that waits behind a request has its time after that."""
    async with _deploy_limited() as deployment:

        async def wait(_request: object) -> None:
            await asyncio.sleep(1)

        deployment.backends[0].override = wait
        streams = await _connect(deployment, Port.callers)
        streams[1].write(b'GET%s%s' % (_PROPER, _UNKNOWN[:10]))
        await _read_head(streams)
        streams[1].write(_UNKNOWN[10:])
        received = b''
        while b' 401 ' not in received:
            received = await _read_head(streams)


async def test_new_connection_displaces_a_silent_one() -> None:
    async with _deploy_limited() as deployment:
        ingress = _get_ingress(deployment)
        ingress.get_limits = RequestLimits
        ingress.rosters[Port.callers] = Roster(3)
        silent = [await _connect(deployment, Port.callers) for _ in range(3)]
        await asyncio.sleep(0.05)
        latest = await _connect(deployment, Port.callers)
        latest[1].write(_UNKNOWN)
        assert b' 401 ' in await _read_head(latest)
        assert await _measure_life(silent[0]) < 1
        assert ingress.ended[Port.callers, EndCause.connections] == 1
        assert not silent[1][0].at_eof()


async def test_connection_that_keeps_too_much_is_ended(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with _deploy_limited() as deployment:
        ingress = _get_ingress(deployment)
        ingress.get_limits = RequestLimits
        ingress.ledger = HostLedger(IngressLimits(max_connection_bytes=8000))
        streams = await _connect(deployment, Port.callers)
        streams[1].write(b'GET /key-of-court'.ljust(12_000, b'x'))
        assert await _measure_life(streams) < 1
        assert ingress.ledger.total == 0
        components = deployment.service._components  # noqa: SLF001
        text = render_metrics(components.metrics, HostCollector(components))
        status, _text, _response = await deployment.send()
    assert status == 200
    line = (
        b'crocus_connections_ended_total'
        b'{cause="connection-bytes",port="callers"} 1.0'
    )
    assert line in text
    assert caplog.text.count('connection ended') <= 1
    assert 'key-of-court' not in caplog.text


async def test_tiny_pieces_leave_time_to_others() -> None:
    """Bodies in chunks of one byte share a part of the host's time."""
    async with deploy('s1') as deployment:
        ingress = _get_ingress(deployment)
        head = b'POST%sTransfer-Encoding: chunked\r\n\r\n' % _PROPER[:-2]
        crowd = [await _connect(deployment, Port.callers) for _ in range(10)]

        async def flood(streams: _Streams) -> None:
            streams[1].write(head)
            while True:
                streams[1].write(b'1\r\nx\r\n' * 1000)
                await streams[1].drain()

        tasks = [asyncio.create_task(flood(one)) for one in crowd]
        await asyncio.sleep(0.5)
        cpu_before = time.thread_time()
        servers = deployment.service._servers  # noqa: SLF001
        connections = servers.request_runners[0]
        steps_before = _count_steps(connections)
        await asyncio.sleep(1)
        steps = _count_steps(connections) - steps_before
        began_at = time.monotonic()
        status, _text, _response = await deployment.send()
        assert (status, time.monotonic() - began_at < 0.5) == (200, True)
        assert steps < 2 * ingress.budget.steps_per_s
        assert time.thread_time() - cpu_before < 0.9
        for task in tasks:
            task.cancel()
        for streams in crowd:
            streams[1].transport.abort()


def _count_steps(runner: object) -> int:
    connections = runner.server.connections  # type: ignore[attr-defined]
    return sum(one._parser.step_count for one in connections)  # noqa: SLF001


async def _send_raw(deployment: Deployment, content: bytes) -> bytes:
    """Return the head of the response to a request."""
    streams = await _connect(deployment, Port.callers)
    streams[1].write(content)
    received = await _read_head(streams)
    streams[1].close()
    return received


async def test_long_body_is_refused_unread() -> None:
    async with deploy('s1') as deployment:
        head = b'POST%sContent-Length: 67108865\r\n\r\n' % _PROPER[:-2]
        assert b' 413 ' in await _send_raw(deployment, head)
        assert deployment.backends[0].received == []


async def test_body_must_be_whole_in_time() -> None:
    """It is refused with the promise that it was not run."""
    async with deploy('s1') as deployment:
        deployment.configure(describe_route(timeout_s=0.3))
        await deployment.wait_for_sync()
        head = b'POST%sContent-Length: 4\r\n\r\nabc' % _PROPER[:-2]
        received = await _send_raw(deployment, head)
        assert b' 408 ' in received
        ledger = _get_ingress(deployment).ledger
        assert (ledger.body_total, deployment.backends[0].received) == (0, [])


async def test_body_without_room_is_refused() -> None:
    """Nothing is ended for it, and small bodies still have room."""
    async with deploy('s1') as deployment:
        ingress = _get_ingress(deployment)
        limits = IngressLimits(
            max_body_bytes=100_000,
            small_reserve_bytes=50_000,
        )
        ingress.ledger = HostLedger(limits)
        holder = ingress.ledger.open(lambda _cause: None)
        assert holder.try_hold_body(90_000)
        head = b'POST%sContent-Length: %d\r\n\r\n'
        large = head % (_PROPER[:-2], 80_000)
        received = await _send_raw(deployment, large + bytes(80_000))
        assert b' 503 ' in received
        small = head % (_PROPER[:-2].replace(b'req-x', b'req-y'), 20_000)
        received = await _send_raw(deployment, small + bytes(20_000))
        assert b' 200 ' in received
        assert ingress.ledger.body_total == 90_000
        assert not ingress.ended


async def test_head_of_the_request_under_way_counts() -> None:
    fields = ''.join(f'X{number}: a\r\n' for number in range(1000))
    head = (
        f'POST /a/x HTTP/1.1\r\nHost: a.example\r\n'
        f'Authorization: Token {KEY}\r\nContent-Length: 9\r\n{fields}\r\na'
    )
    async with deploy('s1') as deployment:
        ledger = _get_ingress(deployment).ledger
        before = ledger.total
        _reader, writer = await _connect(deployment, Port.callers)
        writer.write(head.encode())
        await asyncio.sleep(0.2)
        writer.write(b'b')
        await asyncio.sleep(0.2)
        assert ledger.total - before > 256 * 1000
        writer.close()
        await asyncio.sleep(0.2)
        assert ledger.total == before
