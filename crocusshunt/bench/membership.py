"""Benchmarks of the cost and speed of failure detection between hosts."""

import asyncio
import random
import tracemalloc
from collections.abc import Iterator
from statistics import mean
from time import process_time

from result import Err, Ok, Result

from crocusshunt.bench import Measurement, register_bench
from crocusshunt.core import ManualClock
from crocusshunt.membership import (
    DetectorSettings,
    MembershipAgent,
    MemberTable,
    GossipQueue,
)
from crocusshunt.messages import (
    Body,
    FetchMembers,
    Member,
    MemberStatus,
    PeerTimeoutError,
    Probe,
    RelayProbe,
    TransportError,
)
from crocusshunt.store import HostEntry

_SEED = 5
_SIZES = (10, 100, 1_000)
_REGIONS = 3
_DOMAINS = 6
_SETTLE_S = 5
_DETECTION_TIMEOUT_S = 40
_REJOIN_S = 5
_MAX_BYTES_PER_S = 15_000
# CPU time of one endpoint per exchange, measured by the benchmark
# `capacity`.
_ENDPOINT_CPU_US = 230
_MICROSECONDS = 1_000_000
_PERCENT = 100


class _Fleet:
    """Hosts that exchange messages in memory and share one clock."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.agents: dict[str, MembershipAgent] = {}
        self.down: set[str] = set()
        self._by_address: dict[str, str] = {}
        source = random.Random(_SEED)
        listing = _create_listing(size)
        members = tuple(map(_create_member, listing))
        for entry in listing:
            table = MemberTable(_create_member(entry))
            self._by_address[entry.controller] = entry.name
            self.agents[entry.name] = MembershipAgent(
                table,
                self,
                self.clock,
                DetectorSettings(),
                source,
            )
            # Start in the steady state: each host knows all members and has no
            # updates left to gossip.
            table.merge_updates(members)
            table.gossip = GossipQueue()

    async def exchange(
        self,
        address: str,
        body: Body,
        timeout_s: float,
    ) -> Result[Body, TransportError]:
        name = self._by_address[address]
        if name in self.down:
            return Err(PeerTimeoutError(address))
        agent = self.agents[name]
        if isinstance(body, Probe):
            return Ok(await agent.answer_probe(body))
        if isinstance(body, RelayProbe):
            return Ok(await agent.relay_probe(body))
        assert isinstance(body, FetchMembers)
        return Ok(await agent.list_members(body))

    async def run_second(self) -> None:
        for name, agent in self.agents.items():
            if name not in self.down:
                await agent.probe_same_region()
                await agent.probe_other_region()
                if self.clock.monotonic() % _REJOIN_S == 0:
                    await agent.probe_lost()
        self.clock.advance(1)

    def count_unaware_hosts(self, name: str) -> int:
        return sum(
            agent.table.members[name].status < MemberStatus.unreachable
            for other, agent in self.agents.items()
            if other not in self.down
        )

    def count_traffic(self) -> tuple[float, float]:
        """Return the mean messages and bytes sent and received per host."""
        agents = [one.traffic for one in self.agents.values()]
        return (
            mean(one.messages.total() for one in agents),
            mean(one.bytes.total() for one in agents),
        )


@register_bench('member')
def measure_membership() -> Iterator[Measurement]:
    """Measure detection and traffic at several fleet sizes.

    The slope is the additional traffic for each additional host.
    """
    rates = []
    for size in _SIZES:
        runner = asyncio.Runner()
        figures = list(runner.run(_measure_size(size)))
        runner.close()
        rates.append(figures[1].value)
        yield from figures
    growth = _SIZES[-1] - _SIZES[-2]
    slope = (rates[-1] - rates[-2]) / growth
    yield Measurement(
        'member.bytes.slope',
        round(slope, 4),
        'bytes/s a host for each host more',
        seed=_SEED,
    )


async def _measure_size(size: int) -> list[Measurement]:
    tracemalloc.start()
    memory_table = MemberTable(_create_member(_create_listing(1)[0]))
    memory_table.merge_listing(_create_listing(size))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fleet = _Fleet(size)
    for _ in range(_SETTLE_S):
        await fleet.run_second()
    messages, sent = fleet.count_traffic()
    started = process_time()
    failed_host = next(iter(fleet.agents))
    fleet.down.add(failed_host)
    detected_s = _DETECTION_TIMEOUT_S
    for second in range(_DETECTION_TIMEOUT_S):
        await fleet.run_second()
        if not fleet.count_unaware_hosts(failed_host):
            detected_s = second + 1
            break
    spent_us = (process_time() - started) * _MICROSECONDS
    host_seconds = size * detected_s
    messages = (fleet.count_traffic()[0] - messages) / detected_s
    rate = (fleet.count_traffic()[1] - sent) / detected_s
    detection_us = spent_us / host_seconds
    core = (
        (messages / 2 * _ENDPOINT_CPU_US + detection_us)
        / _MICROSECONDS
        * _PERCENT
    )
    figures = (
        (f'member.detect.{size}', detected_s, 's until all hosts know', None),
        (f'member.bytes.{size}', rate, 'bytes/s a host', _MAX_BYTES_PER_S),
        (f'member.messages.{size}', messages, 'messages/s a host', None),
        (f'member.core.{size}', core, '% of a core a host', None),
        (f'member.memory.{size}', held / size, 'bytes a host known', None),
    )
    return [
        Measurement(name, round(value, 3), unit, target, seed=_SEED)
        for name, value, unit, target in figures
    ]


def _create_listing(size: int) -> tuple[HostEntry, ...]:
    return tuple(
        HostEntry(
            f'host-{number:04d}',
            f'region-{number % _REGIONS}',
            f'domain-{number % _DOMAINS}',
            f'http://10.0.{number // 250}.{number % 250}:8080',
            f'tcp://10.0.{number // 250}.{number % 250}:9000',
        )
        for number in range(size)
    )


def _create_member(entry: HostEntry) -> Member:
    return Member(
        entry.name,
        entry.region,
        entry.failure_domain,
        entry.gateway,
        entry.controller,
        1,
    )
