"""Benchmarks of look-ups, shifts, drains and balancing between regions."""

import tracemalloc
from collections.abc import Callable, Iterator
from ipaddress import IPv4Address
from mmap import PAGESIZE
from pathlib import Path
from random import Random
from time import process_time

from crocusshunt.bench import Measurement, register_bench
from crocusshunt.bench._operations import (
    simulate_drain,
    measure_link_excess,
    measure_shift_excess,
)
from crocusshunt.bench._regions import (
    DampedPolicy,
    simulate_server_loss,
    split_in_proportion,
)
from crocusshunt.drains import DrainBounds
from crocusshunt.steering import BlockTable, Caller, EntryHostRanker
from crocusshunt.store import HostEntry

_SEED = 1
_DRAINS = 10
_BLOCKS = 4_500_000
_SITES = 450
_HOSTS = 1_800
_REGIONS = 17
_DOMAINS = 35
_LOOKUPS = 20_000
_UPDATES = 2_000
_RANKED_HOSTS = 4
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1_000
_LOOKUPS_PER_HOST_S = 500
_CONTROL_SHARE = 0.014
_MAX_BLOCK_BYTES = 8
_IPV4 = 4
_PREFIX_LENGTHS = (20, 21, 22, 22, 23, 23, 24, 24, 24, 24)
_BITS = 32


@register_bench('steer')
def measure_steering() -> Iterator[Measurement]:
    """Measure look-ups, drains and decisions about load between regions."""
    yield from _measure_decisions()
    yield from _measure_drain()
    before = _read_resident_bytes()
    table = _create_blocks()
    allocated_bytes = _read_resident_bytes() - before
    yield Measurement(
        'steer.block_bytes',
        round(allocated_bytes / _BLOCKS, 2),
        'bytes',
        target=_MAX_BLOCK_BYTES,
        baseline=round(_measure_dictionary(), 2),
        seed=_SEED,
    )
    yield from _measure_updates(table)
    yield from _measure_lookups(table)


def _measure_decisions() -> Iterator[Measurement]:
    damped = simulate_server_loss(DampedPolicy())
    baseline_outcome = simulate_server_loss(split_in_proportion)
    excess = max(measure_shift_excess(_SEED), measure_link_excess(_SEED))
    figures = (
        ('steer.cap_excess', excess, 'share or Mbit/s', 0, None),
        (
            'steer.region_overload',
            damped.overload,
            'slot-seconds',
            0,
            baseline_outcome.overload,
        ),
        (
            'steer.settle',
            damped.settle_steps,
            'steps of 5 s',
            None,
            baseline_outcome.settle_steps,
        ),
        (
            'steer.oscillation',
            damped.reversals,
            'reversals',
            None,
            baseline_outcome.reversals,
        ),
        ('steer.served', damped.served, 'share', None, baseline_outcome.served),
    )
    for name, value, unit, target, baseline in figures:
        base = None if baseline is None else round(baseline, 3)
        yield Measurement(
            name,
            round(value, 3),
            unit,
            target=target,
            baseline=base,
            seed=_SEED,
        )


def _measure_drain() -> Iterator[Measurement]:
    bounds = DrainBounds(propagation_s=15, lifetime_s=5, deadline_s=30)
    outcomes = [simulate_drain(bounds, seed) for seed in range(_DRAINS)]
    longest_s = bounds.propagation_s + bounds.lifetime_s + bounds.deadline_s
    yield Measurement(
        'steer.drain_seconds',
        max(outcome.safe_s for outcome in outcomes),
        's',
        target=longest_s,
        baseline=longest_s,
        seed=_SEED,
    )
    yield Measurement(
        'steer.drain_cut',
        sum(outcome.cut for outcome in outcomes),
        'requests',
        target=0,
        seed=_SEED,
    )


def _read_resident_bytes() -> int:
    pages = Path('/proc/self/statm').read_text(encoding='ascii').split()[1]
    return int(pages) * PAGESIZE


def _create_blocks() -> BlockTable:
    """Return a table of random IPv4 blocks with /20 to /24 prefixes."""
    source = Random(_SEED)
    table = BlockTable()
    sites = [f'site-{number:03d}' for number in range(_SITES)]
    while table.count() < _BLOCKS:
        for _ in range(_BLOCKS - table.count()):
            length = source.choice(_PREFIX_LENGTHS)
            first = source.getrandbits(length) << (_BITS - length)
            table.put_prefix((_IPV4, length), first, source.choice(sites))
    return table


def _measure_dictionary() -> float:
    """Return the bytes per block of a dictionary keyed by prefix."""
    entries = 100_000
    tracemalloc.start()
    entries_by_prefix = {
        (_IPV4, 24, number << 8): 'site' for number in range(entries)
    }
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes / len(entries_by_prefix)


def _measure_updates(table: BlockTable) -> Iterator[Measurement]:
    source = Random(_SEED)
    prefixes = [source.getrandbits(24) << 8 for _ in range(_UPDATES)]

    def update() -> None:
        for first in prefixes:
            table.put_prefix((_IPV4, 24), first, 'site-001')

    yield Measurement(
        'steer.update',
        round(_measure_cpu_s(update) / _UPDATES * _MICROSECONDS, 2),
        'us of CPU a change',
        seed=_SEED,
    )


def _measure_lookups(table: BlockTable) -> Iterator[Measurement]:
    source = Random(_SEED)
    clients = [IPv4Address(source.getrandbits(_BITS)) for _ in range(_LOOKUPS)]
    hosts = _create_hosts()
    started = process_time()
    ranker = EntryHostRanker(hosts, {})
    yield Measurement(
        'steer.directory',
        round((process_time() - started) * _MILLISECONDS, 1),
        'ms of CPU for the first index of 1,800 hosts',
    )
    started = process_time()
    ranker = EntryHostRanker(hosts[1:], {})
    yield Measurement(
        'steer.directory_change',
        round((process_time() - started) * _MILLISECONDS, 1),
        'ms of CPU for each change of hosts',
    )

    def look_up() -> None:
        for client in clients:
            site = table.find_region(client)
            region = f'region-{hash(site) % _REGIONS:02d}'
            ranker.rank(Caller(str(client), region), _RANKED_HOSTS)

    spent_s = _measure_cpu_s(look_up)
    yield Measurement(
        'steer.lookups',
        round(_LOOKUPS / spent_s),
        'look-ups a second a core, without HTTP',
        target=round(_LOOKUPS_PER_HOST_S / _CONTROL_SHARE),
        seed=_SEED,
        is_floor=True,
    )


def _create_hosts() -> tuple[HostEntry, ...]:
    return tuple(
        HostEntry(
            f'host-{number:04d}',
            f'region-{number % _DOMAINS % _REGIONS:02d}',
            f'domain-{number % _DOMAINS:02d}',
            f'http://10.0.{number // 250}.{number % 250}:8080',
            f'tcp://10.0.{number // 250}.{number % 250}:9000',
        )
        for number in range(_HOSTS)
    )


def _measure_cpu_s(work: Callable[[], None]) -> float:
    started = process_time()
    work()
    return process_time() - started
