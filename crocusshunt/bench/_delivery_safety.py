"""Benchmarks of requests that are cut or run twice, which must not happen."""

import asyncio
import random
from collections import Counter

from crocusshunt.bench._registry import Measurement
from crocusshunt.gateway.tests.site import Site, run_site
from crocusshunt.standin import Fault

_SEED = 5
_WRITES = 60
_WRITE_FAULTS = (
    Fault.none,
    Fault.die_before,
    Fault.short_body,
    Fault.shed,
    Fault.none,
)


async def measure_cut_requests() -> list[Measurement]:
    """Measure requests cut by planned stops of a gateway under load."""
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


async def measure_duplicate_runs() -> list[Measurement]:
    """Measure writes that ran more than once when each was sent four times."""
    with_key = await _write_repeatedly('key-')
    without = await _write_repeatedly('')
    return [
        Measurement(
            'delivery.double_runs',
            sum(with_key.values()) - len(with_key),
            'runs',
            target=0,
            baseline=sum(without.values()) - _WRITES,
            seed=_SEED,
        ),
        Measurement(
            'delivery.double_runs.ran',
            len(with_key),
            'requests',
            seed=_SEED,
        ),
    ]


async def _call_slowly(site: Site) -> int:
    async with site.request('POST', '/ledger/1?sleep_ms=300') as answer:
        await answer.read()
        return answer.status


async def _write_repeatedly(prefix: str) -> Counter[str]:
    """Return the runs per idempotency key of writes sent four times each.

    :param prefix: prefix of the keys; no key is sent if empty.
    """
    source = random.Random(_SEED)
    async with run_site(servers=5, gateways=3) as site:
        site.platform.platform.switches.lost_answers = _WRITES
        for faulty, fault in zip(site.backends, _WRITE_FAULTS, strict=True):
            faulty.switches.fault = fault
        calls = [
            _write(site, number % _WRITES, prefix, source.randrange(3))
            for number in range(4 * _WRITES)
        ]
        await asyncio.gather(*calls, return_exceptions=True)
        return site.runs.keys


async def _write(
    site: Site,
    number: int,
    prefix: str,
    gateway: int,
) -> None:
    async with site.request(
        'POST',
        f'/ledger/{number}',
        idempotency_key=f'{prefix}{number}' if prefix else '',
        body=b'payment',
        gateway=gateway,
    ) as answer:
        await answer.read()
