"""Benchmarks of fairness between customers and of retries to a failing pool."""

import asyncio
import random
import time

from hdrh.histogram import HdrHistogram

from crocusshunt.bench._registry import Measurement
from crocusshunt.delivery import BudgetSettings, EjectionSettings
from crocusshunt.gateway import DeliveryPolicy
from crocusshunt.gateway.tests.site import BAR_KEY, COURT_KEY, Site, run_site
from crocusshunt.standin import Fault

_SEED = 5
# Lowest and highest value in microseconds, and significant digits.
_HISTOGRAM_RANGE = (1, 60_000_000, 3)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000


async def measure_amplification() -> list[Measurement]:
    """Measure requests sent per offered request while half a pool is down."""
    sent, answered = await _send_with_half_pool_down(DeliveryPolicy())
    unprotected = DeliveryPolicy(
        ejection=EjectionSettings(failures=1_000_000),
        retries=BudgetSettings(ratio=1, reserve=1000),
    )
    unprotected_sent, unprotected_answered = await _send_with_half_pool_down(
        unprotected
    )
    return [
        Measurement(
            'delivery.amplification',
            sent,
            'requests',
            target=1.1,
            baseline=unprotected_sent,
            seed=_SEED,
        ),
        Measurement(
            'delivery.amplification.answered',
            answered,
            'share',
            baseline=unprotected_answered,
            seed=_SEED,
        ),
    ]


async def measure_worst_customer() -> list[Measurement]:
    """Measure a small customer while another floods the gateway."""
    async with run_site(servers=3) as site:
        for slow in site.backends:
            slow.switches.delay_s = 0.05
        alone = await _time_calls(site, 100)
        flood = asyncio.create_task(_flood_with_requests(site))
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


async def _send_with_half_pool_down(
    policy: DeliveryPolicy,
) -> tuple[float, float]:
    offered = 600
    async with run_site(servers=6, policy=policy) as site:
        for broken in site.backends[::2]:
            broken.switches.fault = Fault.die_before
        statuses = await _send_requests(site, offered, per_second=300)
        sent = sum(backend.received for backend in site.backends)
    answered = sum(status == 200 for status in statuses)
    return round(sent / offered, 3), round(answered / offered, 3)


async def _send_requests(
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


async def _time_calls(site: Site, count: int) -> HdrHistogram:
    latencies = HdrHistogram(*_HISTOGRAM_RANGE)
    for number in range(count):
        started = time.perf_counter()
        path = f'/verify/{number}'
        async with site.request('GET', path, key=BAR_KEY) as answer:
            await answer.read()
            if answer.status == 200:
                elapsed = time.perf_counter() - started
                latencies.record_value(int(elapsed * _MICROSECONDS))
    return latencies


async def _flood_with_requests(site: Site) -> None:
    async def request_repeatedly() -> None:
        while True:
            async with site.request('GET', '/verify/flood') as answer:
                await answer.read()

    await asyncio.gather(*(request_repeatedly() for _ in range(60)))
