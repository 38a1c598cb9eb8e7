"""Benchmarks of added latency, CPU time and memory of delivery."""

import asyncio
import resource
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from aiohttp import ClientSession, TCPConnector, web
from hdrh.histogram import HdrHistogram

from crocusshunt.bench._registry import Measurement
from crocusshunt.gateway.tests.site import COURT_KEY, Site, run_site
from crocusshunt.standin import Fault
from crocusshunt.web import HttpService

_REQUESTS = 3000
_WARM_UP = 300
_WAITING_REQUESTS = 800
_SLOTS = 4
# Lowest and highest value in microseconds, and significant digits.
_HISTOGRAM_RANGE = (1, 60_000_000, 3)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000

_RequestFunction = Callable[[], Awaitable[int]]


class _BareForwarder(HttpService):
    """Minimal forwarder without retries, limits or other guarantees."""

    def __init__(self, target: str) -> None:
        super().__init__('127.0.0.1', 0)
        self._target = target
        self._session: ClientSession | None = None

    def create_application(self) -> web.Application:
        """Return an application that forwards every path."""
        application = web.Application()
        application.router.add_route('*', '/{path:.*}', self._forward)
        return application

    async def start(self) -> None:
        """Open the client session and listen."""
        connector = TCPConnector(limit=0)
        self._session = ClientSession(connector=connector)
        await super().start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening and close the client session."""
        await super().stop(exception)
        if self._session is not None:
            await self._session.close()

    async def _forward(self, request: web.Request) -> web.StreamResponse:
        assert self._session is not None  # noqa: S101
        url = f'{self._target}{request.path_qs}'
        async with self._session.get(url) as answer:
            response = web.StreamResponse(status=answer.status)
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            return response


async def measure_latency() -> list[Measurement]:
    """Measure the latency and CPU time that the gateway adds.

    The baseline is a minimal forwarder.
    """
    async with run_site(servers=3) as site:
        bare = _BareForwarder(site.backends[0].url)
        await bare.start()
        calls = {
            'direct': _create_call(site, site.backends[0].url),
            'bare': _create_call(site, bare.url),
            'gateway': _create_call(site, site.url),
        }
        latencies = {name: HdrHistogram(*_HISTOGRAM_RANGE) for name in calls}
        cpu_s = dict.fromkeys(calls, float(0))
        for number in range(_WARM_UP + _REQUESTS):
            for name, call in calls.items():
                cpu_started = time.process_time()
                started = time.perf_counter()
                await call()
                if number >= _WARM_UP:
                    elapsed = time.perf_counter() - started
                    latencies[name].record_value(int(elapsed * _MICROSECONDS))
                    cpu_s[name] += time.process_time() - cpu_started
        await bare.stop()
    return _report_latency(latencies, cpu_s)


async def measure_waiting() -> list[Measurement]:
    """Measure the memory of a waiting request and its connection.

    Both ends of the connection are in this process, so the figure includes
    the client's memory as well as the gateway's.
    """
    async with run_site(servers=1) as site:
        site.backends[0].switches.fault = Fault.hang
        writers = [await _open_request(site) for _ in range(_SLOTS)]
        await asyncio.sleep(0.2)
        before = _read_resident_bytes()
        for _ in range(_WAITING_REQUESTS):
            writers.append(await _open_request(site))
        await asyncio.sleep(0.2)
        held = site.gateways[0].in_flight
        growth = (_read_resident_bytes() - before) / _WAITING_REQUESTS
        for writer in writers:
            writer.close()
        await asyncio.sleep(0.2)
    return [
        Measurement('delivery.memory_per_waiting', round(growth), 'bytes'),
        Measurement('delivery.memory_per_waiting.held', held, 'requests'),
    ]


def _report_latency(
    latencies: dict[str, HdrHistogram],
    cpu_s: dict[str, float],
) -> list[Measurement]:
    measurements = []
    for percentile in (50, 99):
        latency_ms = {
            name: histogram.get_value_at_percentile(percentile) / _MILLISECONDS
            for name, histogram in latencies.items()
        }
        measurements.append(
            Measurement(
                f'delivery.latency.p{percentile}_added',
                round(latency_ms['gateway'] - latency_ms['bare'], 3),
                'ms',
                target=1 if percentile == 50 else None,
                baseline=round(latency_ms['bare'], 3),
            ),
        )
    # The client and the backend server run in the same process; their cost,
    # measured by direct calls, is subtracted from both figures.
    requests_per_cpu_s = {
        name: _REQUESTS / max(cpu_s[name] - cpu_s['direct'], 0.001)
        for name in ('bare', 'gateway')
    }
    measurements.append(
        Measurement(
            'delivery.requests_per_core',
            round(requests_per_cpu_s['gateway']),
            'requests/s',
            baseline=round(requests_per_cpu_s['bare']),
        ),
    )
    return measurements


def _create_call(site: Site, url: str) -> _RequestFunction:
    async def call() -> int:
        async with site.session.get(
            f'{url}/verify/1',
            headers={'X-Api-Key': COURT_KEY},
        ) as answer:
            await answer.read()
            return answer.status

    return call


async def _open_request(site: Site) -> asyncio.StreamWriter:
    port = site.gateways[0].port
    _reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'GET /open/1 HTTP/1.1\r\nHost: a\r\n\r\n',
    )
    return writer


def _read_resident_bytes() -> int:
    pages = Path('/proc/self/statm').read_text(encoding='ascii').split()[1]
    return int(pages) * resource.getpagesize()
