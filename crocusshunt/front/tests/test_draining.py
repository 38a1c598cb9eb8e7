"""Planned stops under load."""

import asyncio

from aiohttp import ClientSession, web

from crocusshunt.core import SystemClock
from crocusshunt.front._draining import drain_runner
from crocusshunt.front._handler import InFlight


async def _serve(handle: web.RequestHandler) -> tuple[web.ServerRunner, str]:
    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0]
    return runner, f'http://{host}:{port}/'


async def test_request_that_came_just_before_the_stop_is_answered() -> None:
    in_flight = InFlight()

    async def handle(_request: web.BaseRequest) -> web.Response:
        # The request is counted a little after its bytes have come.
        await asyncio.sleep(0.03)
        in_flight.count += 1
        await asyncio.sleep(0.2)
        in_flight.count -= 1
        return web.Response(text='whole')

    runner, url = await _serve(handle)
    async with ClientSession() as session:
        asking = asyncio.create_task(session.get(url))
        await asyncio.sleep(0.02)
        clock = SystemClock()
        await drain_runner(runner, in_flight, clock.monotonic() + 5, clock)
        await runner.cleanup()
        assert (await (await asking).text()) == 'whole'


async def test_stop_ends_in_time_while_a_request_hangs() -> None:
    in_flight = InFlight(count=1)

    async def handle(_request: web.BaseRequest) -> web.Response:
        return web.Response()

    runner, _url = await _serve(handle)
    clock = SystemClock()
    started_at = clock.monotonic()
    await drain_runner(runner, in_flight, started_at + 0.2, clock)
    assert clock.monotonic() - started_at < 1
    await runner.cleanup()
