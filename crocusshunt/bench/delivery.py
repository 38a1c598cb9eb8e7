"""Measurements of delivery: added latency, room, retries, stops."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator

from aiohttp import ClientSession, TCPConnector, web
from hdrh.histogram import HdrHistogram

from crocusshunt.bench._registry import Measurement, register_bench
from crocusshunt.bench._room import RoomWorkload, simulate_ideal, simulate_room
from crocusshunt.delivery import list_choices
from crocusshunt.gateway.tests.site import (
    BAR_KEY,
    COURT_KEY,
    Site,
    run_site,
)
from crocusshunt.services import HttpService, create_loop
from crocusshunt.standin import Fault

_SEED = 5
_REQUESTS = 3000
_WARM_UP = 300
_HISTOGRAM = (1, 60_000_000, 3)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000

_Call = Callable[[], Awaitable[int]]


class _BareForwarder(HttpService):
    """The simplest forwarding loop, without any promise."""

    def __init__(self, target: str) -> None:
        super().__init__('127.0.0.1', 0)
        self._target = target
        self._session: ClientSession | None = None

    def create_application(self) -> web.Application:
        """Return an application that takes every path."""
        application = web.Application()
        application.router.add_route('*', '/{path:.*}', self._forward)
        return application

    async def start(self) -> None:
        """Open the session and listen."""
        connector = TCPConnector(limit=0)
        self._session = ClientSession(connector=connector)
        await super().start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close both sides."""
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


@register_bench('delivery')
def measure_delivery() -> Iterable[Measurement]:
    """Measure every promise of delivery that has a figure."""
    yield from _run(_measure_latency())
    yield from _measure_room()
    yield from _run(_measure_amplification())
    yield from _run(_measure_worst_customer())
    yield from _run(_measure_stops())
    yield from _run(_measure_double_runs())


def _run(
    measured: Awaitable[list[Measurement]],
) -> list[Measurement]:
    async def run() -> list[Measurement]:
        return await measured

    with asyncio.Runner(loop_factory=create_loop) as runner:
        return runner.run(run())


async def _measure_latency() -> list[Measurement]:
    async with run_site(servers=3) as site:
        bare = _BareForwarder(site.backends[0].url)
        await bare.start()
        calls = {
            'direct': _create_call(site, site.backends[0].url),
            'bare': _create_call(site, bare.url),
            'gateway': _create_call(site, site.url),
        }
        latencies = {name: HdrHistogram(*_HISTOGRAM) for name in calls}
        seconds = dict.fromkeys(calls, float(0))
        for number in range(_WARM_UP + _REQUESTS):
            for name, call in calls.items():
                spent = time.process_time()
                started = time.perf_counter()
                await call()
                if number >= _WARM_UP:
                    elapsed = time.perf_counter() - started
                    latencies[name].record_value(int(elapsed * _MICROSECONDS))
                    seconds[name] += time.process_time() - spent
        await bare.stop()
    return _report_latency(latencies, seconds)


def _report_latency(
    latencies: dict[str, HdrHistogram],
    seconds: dict[str, float],
) -> list[Measurement]:
    measured = []
    for percentile in (50, 99):
        at = {
            name: one.get_value_at_percentile(percentile) / _MILLISECONDS
            for name, one in latencies.items()
        }
        measured.append(
            Measurement(
                f'delivery.latency.p{percentile}_added',
                round(at['gateway'] - at['bare'], 3),
                'ms',
                target=1 if percentile == 50 else None,
                baseline=round(at['bare'], 3),
            ),
        )
    # What the caller and the backend server cost in the same process is
    # taken off both.
    rate = {
        name: _REQUESTS / max(seconds[name] - seconds['direct'], 0.001)
        for name in ('bare', 'gateway')
    }
    measured.append(
        Measurement(
            'delivery.requests_per_core',
            round(rate['gateway']),
            'requests/s',
            baseline=round(rate['bare']),
        ),
    )
    return measured


def _create_call(site: Site, url: str) -> _Call:
    async def call() -> int:
        async with site.session.get(
            f'{url}/verify/1',
            headers={'X-Api-Key': COURT_KEY},
        ) as answer:
            await answer.read()
            return answer.status

    return call


def _measure_room() -> Iterator[Measurement]:
    workload = RoomWorkload(seed=_SEED)
    ideal = simulate_ideal(workload)
    yield Measurement(
        'delivery.room.ideal.p99_wait',
        round(ideal.p99_wait_ms, 1),
        'ms',
        seed=_SEED,
    )
    for name in (*list_choices(), 'slot-shares'):
        seen = simulate_room(workload, name)
        yield Measurement(
            f'delivery.room.{name}.p99_wait',
            round(seen.p99_wait_ms, 1),
            'ms',
            target=round(ideal.p99_wait_ms * 1.5, 1),
            baseline=round(ideal.p99_wait_ms, 1),
            seed=_SEED,
        )
        yield Measurement(
            f'delivery.room.{name}.refused',
            round(seen.refused_share, 4),
            'share',
            baseline=round(ideal.refused_share, 4),
            seed=_SEED,
        )
        yield Measurement(
            f'delivery.room.{name}.sent_per_request',
            round(seen.sent_per_request, 3),
            'requests',
            seed=_SEED,
        )


async def _measure_amplification() -> list[Measurement]:
    offered = 600
    async with run_site(servers=6) as site:
        for broken in site.backends[::2]:
            broken.switches.fault = Fault.die_before
        statuses = await _offer(site, offered, per_second=300)
        sent = sum(backend.received for backend in site.backends)
    answered = sum(status == 200 for status in statuses)
    return [
        Measurement(
            'delivery.amplification',
            round(sent / offered, 3),
            'requests',
            target=1.1,
            baseline=1.5,
            seed=_SEED,
        ),
        Measurement(
            'delivery.amplification.answered',
            round(answered / offered, 3),
            'share',
            seed=_SEED,
        ),
    ]


async def _offer(
    site: Site,
    count: int,
    per_second: float,
    key: str = COURT_KEY,
) -> list[int]:
    source = random.Random(_SEED)

    async def call(number: int) -> int:
        async with site.request('GET', f'/verify/{number}', key=key) as answer:
            await answer.read()
            return answer.status

    calls = []
    for number in range(count):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(source.expovariate(per_second))
    return await asyncio.gather(*calls)


async def _measure_worst_customer() -> list[Measurement]:
    async with run_site(servers=3) as site:
        for slow in site.backends:
            slow.switches.delay_s = 0.05
        alone = await _time_calls(site, 100)
        flood = asyncio.create_task(_flood(site))
        await asyncio.sleep(0.5)
        crowded = await _time_calls(site, 100)
        flood.cancel()
        await asyncio.gather(flood, return_exceptions=True)
    return [
        Measurement(
            'delivery.worst_customer.p99',
            crowded.get_value_at_percentile(99) / _MILLISECONDS,
            'ms',
            baseline=alone.get_value_at_percentile(99) / _MILLISECONDS,
            seed=_SEED,
        ),
        Measurement(
            'delivery.worst_customer.refused',
            100 - crowded.total_count,
            'requests',
            target=0,
        ),
    ]


async def _time_calls(site: Site, count: int) -> HdrHistogram:
    latencies = HdrHistogram(*_HISTOGRAM)
    for number in range(count):
        started = time.perf_counter()
        path = f'/verify/{number}'
        async with site.request('GET', path, key=BAR_KEY) as answer:
            await answer.read()
            if answer.status == 200:
                elapsed = time.perf_counter() - started
                latencies.record_value(int(elapsed * _MICROSECONDS))
    return latencies


async def _flood(site: Site) -> None:
    async def ask_again_and_again() -> None:
        while True:
            async with site.request('GET', '/verify/flood') as answer:
                await answer.read()

    await asyncio.gather(*(ask_again_and_again() for _ in range(60)))


async def _measure_stops() -> list[Measurement]:
    offered, cut = 0, 0
    for number in range(5):
        async with run_site(servers=4) as site:
            calls = [asyncio.create_task(_call_slowly(site)) for _ in range(12)]
            await asyncio.sleep(0.05 * (number + 1))
            await site.gateways[0].stop()
            ended = await asyncio.gather(*calls, return_exceptions=True)
            offered += len(ended)
            cut += sum(status != 200 for status in ended)
    return [
        Measurement('delivery.cut_requests', cut, 'requests', target=0),
        Measurement('delivery.cut_requests.offered', offered, 'requests'),
    ]


async def _call_slowly(site: Site) -> int:
    async with site.request('POST', '/ledger/1?sleep_ms=300') as answer:
        await answer.read()
        return answer.status


async def _measure_double_runs() -> list[Measurement]:
    source = random.Random(_SEED)
    keys = 60
    async with run_site(servers=5, gateways=3) as site:
        site.platform.platform.switches.lost_answers = keys
        for faulty, fault in zip(site.backends, _WRITE_FAULTS, strict=True):
            faulty.switches.fault = fault
        calls = [
            _write(site, key, source.randrange(3))
            for _ in range(4)
            for key in range(keys)
        ]
        await asyncio.gather(*calls, return_exceptions=True)
        runs = site.runs.keys
    return [
        Measurement(
            'delivery.double_runs',
            sum(ran - 1 for ran in runs.values()),
            'runs',
            target=0,
            baseline=len(calls) - keys,
            seed=_SEED,
        ),
        Measurement(
            'delivery.double_runs.ran',
            len(runs),
            'requests',
            seed=_SEED,
        ),
    ]


_WRITE_FAULTS = (
    Fault.none,
    Fault.die_before,
    Fault.short_body,
    Fault.shed,
    Fault.none,
)


async def _write(site: Site, key: int, gateway: int) -> None:
    async with site.request(
        'POST',
        f'/ledger/{key}',
        idempotency_key=f'key-{key}',
        body=b'payment',
        gateway=gateway,
    ) as answer:
        await answer.read()
