"""Benchmarks of configuration propagation, withdrawals and store outages."""

import asyncio
import random
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from crocusshunt.bench import Measurement, register_bench
from crocusshunt.bench._simulation import simulate
from crocusshunt.bench._spread import SpreadFleet, SpreadSettings
from crocusshunt.configuration import Configuration, Evidence, digest_tables
from crocusshunt.keys import Key, KeyState, digest_key
from crocusshunt.messages import ChangeFeed, Codec
from crocusshunt.replication import POLL_INTERVAL_S, Feed
from crocusshunt.routing import Customer, FailureDomain, Row, Tables
from crocusshunt.witnesses import Testimony, Witness

_SEED = 41
_APIS = 6
_MAX_EVIDENCE_AGE_S = 4
_SETTLE_S = 15
_STEADY_S = 30
_OUTAGE_S = 3600
_OUTAGE_HOSTS = 6
_STEP_S = 0.01
_WAIT_TIMEOUT_S = 60
_ROWS = 20_000
_LARGE_FLEET_APIS = 70
_LARGE_FLEET_HOSTS = 1800
_KEY = Key('court', 'court', digest_key('ck_court_00'))


@dataclass(frozen=True, slots=True)
class _PropagationFigures:
    propagation_s: float
    withdrawal_s: float
    messages: int
    busiest_bytes_per_s: float
    store_calls_per_s: float


def _create_first_rows(fleet: SpreadFleet, witnesses: int) -> tuple[Row, ...]:
    witness_rows = (
        Witness(f'w{index}', address, 'addis', 'addis-a')
        for index, address in enumerate(fleet.apis[:witnesses])
    )
    domain = FailureDomain('addis-a', 'addis')
    return (domain, Customer('court', 10, 10), _KEY, *witness_rows)


async def _start(hosts: int, witnesses: int) -> SpreadFleet:
    random.seed(_SEED)
    fleet = SpreadFleet(SpreadSettings(hosts, _APIS))
    fleet.start()
    await asyncio.sleep(1)
    await fleet.accept('c1', *_create_first_rows(fleet, witnesses))
    await asyncio.sleep(_SETTLE_S)
    return fleet


def _is_accepted(feed: Feed) -> bool:
    key = feed.configuration.tables.find(Key, _KEY.name)
    if key is None or key.state is KeyState.withdrawn:
        return False
    if _KEY.name in feed.find_suspension().keys:
        return False
    return feed.measure_evidence_age() <= _MAX_EVIDENCE_AGE_S


async def _measure_propagation(hosts: int) -> _PropagationFigures:
    fleet = await _start(hosts, _APIS - 1)
    bytes_before = fleet.network.transferred_bytes.copy()
    calls = fleet.store.calls
    await asyncio.sleep(_STEADY_S)
    sent = fleet.network.transferred_bytes - bytes_before
    busiest = max(
        sent[one] + sent[f'gateway-{one}'] for one in fleet.controllers
    )
    store_calls_per_s = (fleet.store.calls - calls) / _STEADY_S
    await fleet.accept('c2', replace(_KEY, state=KeyState.withdrawn))
    before = fleet.network.messages
    withdrawal = await _wait_until(
        lambda: not any(_is_accepted(feed) for feed in fleet.gateways),
    )
    propagation = await _wait_until(
        lambda: all(
            feed.configuration.revision == 2 for feed in fleet.gateways
        ),
    )
    await fleet.stop()
    return _PropagationFigures(
        propagation_s=withdrawal + propagation,
        withdrawal_s=withdrawal,
        messages=fleet.network.messages - before,
        busiest_bytes_per_s=busiest / _STEADY_S,
        store_calls_per_s=store_calls_per_s,
    )


async def _wait_until(predicate: Callable[[], bool]) -> float:
    steps = 0
    while not predicate() and steps * _STEP_S < _WAIT_TIMEOUT_S:
        await asyncio.sleep(_STEP_S)
        steps += 1
    return steps * _STEP_S


async def _count_refusals(witnesses: int) -> int:
    fleet = await _start(_OUTAGE_HOSTS, witnesses)
    fleet.store.switches.is_down = True
    refused = 0
    for _ in range(_OUTAGE_S):
        await asyncio.sleep(1)
        refused += sum(not _is_accepted(feed) for feed in fleet.gateways)
    await fleet.stop()
    return refused


def _measure_row() -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    keys = [
        Key(f'k{index}', 'court', digest_key(f'ck_k{index}_00'))
        for index in range(_ROWS)
    ]
    held = Configuration(1, '', Tables().put(*keys))
    keys.clear()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert digest_tables(held.tables)  # noqa: S101
    return used / _ROWS


def _measure_testimony() -> int:
    codec = Codec()
    testimony = Testimony('tcp://10.0.0.1:7000', 2600, 5200, age=0.25)
    evidence = Evidence(2600, 0.25)
    sizes = [
        len(codec.encode(ChangeFeed((), evidence, (testimony,) * count)))
        for count in range(2)
    ]
    return sizes[1] - sizes[0]


@register_bench('config')
def measure_configuration() -> Iterator[Measurement]:
    """Measure propagation with 10 and 100 hosts, an outage and row memory."""
    for hosts in (10, 100):
        propagation = simulate(_measure_propagation(hosts))
        name = f'config.{hosts}_hosts'
        figures = (
            ('propagation', propagation.propagation_s, 's', 15),
            ('withdrawal', propagation.withdrawal_s, 's', 5),
            ('messages', propagation.messages, 'messages', None),
            (
                'bytes_per_host',
                propagation.busiest_bytes_per_s,
                'bytes/s',
                15_000,
            ),
            ('store_calls', propagation.store_calls_per_s, 'calls/s', 2000),
        )
        for suffix, value, unit, target in figures:
            yield Measurement(
                f'{name}.{suffix}',
                round(value, 3),
                unit,
                target,
                seed=_SEED,
            )
    yield Measurement(
        'config.1800_hosts.store_reads_computed',
        _LARGE_FLEET_APIS / POLL_INTERVAL_S,
        'reads/s',
        2000,
        baseline=_LARGE_FLEET_HOSTS / POLL_INTERVAL_S,
    )
    yield Measurement(
        'config.outage_refusals',
        simulate(_count_refusals(_APIS - 1)),
        f'requests of {_OUTAGE_S * _OUTAGE_HOSTS}',
        0,
        baseline=simulate(_count_refusals(0)),
        seed=_SEED,
    )
    yield Measurement('config.testimony', _measure_testimony(), 'bytes')
    yield Measurement('config.row_memory', round(_measure_row()), 'bytes/row')
