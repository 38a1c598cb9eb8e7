"""Graceful stops of a gateway."""

import asyncio
import logging

import aiohttp
import pytest

from crocusshunt.gateway.tests.site import Site, run_site


async def _call(site: Site, sleep_ms: int) -> tuple[int, str]:
    path = f'/open/1?sleep_ms={sleep_ms}'
    async with site.request('POST', path) as answer:
        await answer.read()
        return answer.status, answer.headers.get('Connection', '')


async def test_stop_cuts_no_request() -> None:
    async with run_site(servers=3) as site:
        gateway = site.gateways[0]
        phases: list[str] = []

        async def leave() -> None:
            phases.append('off the locator')

        gateway.on_drain(leave)
        running = [asyncio.create_task(_call(site, 400)) for _ in range(8)]
        while gateway.in_flight < 8:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.02)
        assert phases == ['off the locator']
        # Callers that still use an earlier locator answer are served.
        assert await _call(site, 0) == (200, 'close')
        assert await asyncio.gather(*running) == [
            (200, 'close') for _ in range(8)
        ]
        await asyncio.wait_for(stopping, 3)
        with pytest.raises(aiohttp.ClientConnectorError):
            await _call(site, 0)


async def test_stop_cancels_and_logs_requests_at_its_timeout(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with run_site(servers=1) as site:
        gateway = site.gateways[0]
        running = asyncio.create_task(_call(site, 8000))
        while not site.backends[0].running:
            await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with caplog.at_level(logging.WARNING):
            await gateway.stop()
        # The timeout (finish_s) is 2 s; the request would take 8 s.
        assert loop.time() - started_at < 6
        record = caplog.records[-1]
        assert record.getMessage() == 'requests finished for the stop'
        assert len(record.__dict__['crocus_fields']['cut']) == 1
        with pytest.raises(aiohttp.ClientError):
            await running


async def test_closed_gateway_refuses_as_not_run() -> None:
    async with run_site(servers=1) as site:
        await site.gateways[0]._in_flight.finish(0)
        async with site.request('GET', '/verify/1') as answer:
            refused = await answer.json()
        assert refused['type'].endswith('host-leaving')
        assert refused['outcome'] == 'not_run'
