"""Planned stops under load."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import ClientConnectionError, ClientSession, TCPConnector, web

from crocusshunt.core import SystemClock
from crocusshunt.front._draining import drain_runners
from crocusshunt.front._in_flight import InFlight

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


async def _serve(handle: Handler) -> tuple[web.ServerRunner, str]:
    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0]
    return runner, f'http://{host}:{port}/'


def _answer_late(in_flight: InFlight) -> Handler:
    async def handle(request: web.BaseRequest) -> web.Response:
        # The request is counted as in flight shortly after its bytes arrive.
        await asyncio.sleep(0.02)
        in_flight.begin(request.protocol)
        await asyncio.sleep(0.2)
        in_flight.end(request.protocol)
        return web.Response(text='whole')

    return handle


async def test_request_sent_just_before_the_stop_is_answered() -> None:
    in_flight = InFlight()
    runner, url = await _serve(_answer_late(in_flight))
    async with ClientSession() as session:
        response_task = asyncio.create_task(session.get(url))
        await asyncio.sleep(0.02)
        clock = SystemClock()
        await drain_runners([runner], in_flight, clock.monotonic() + 5, clock)
        await runner.cleanup()
        assert (await (await response_task).text()) == 'whole'


async def test_idle_connection_is_closed_without_reading_a_request() -> None:
    handled: list[str] = []

    async def handle(request: web.BaseRequest) -> web.Response:
        handled.append(request.path)
        return web.Response()

    runner, url = await _serve(handle)
    clock = SystemClock()
    async with ClientSession(connector=TCPConnector(limit=1)) as session:
        await session.post(url)
        await drain_runners([runner], InFlight(), clock.monotonic() + 5, clock)
        with pytest.raises(ClientConnectionError):
            async with asyncio.timeout(2):
                await session.post(url)
    assert handled == ['/']
    await runner.cleanup()


async def test_stop_ends_in_time_while_a_request_hangs() -> None:
    in_flight = InFlight(busy={'hanging': 1})

    async def handle(_request: web.BaseRequest) -> web.Response:
        return web.Response()

    runner, _url = await _serve(handle)
    clock = SystemClock()
    started_at = clock.monotonic()
    await drain_runners([runner], in_flight, started_at + 0.2, clock)
    assert clock.monotonic() - started_at < 1
    await runner.cleanup()
