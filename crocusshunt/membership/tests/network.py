"""Hosts that talk in memory, under one clock."""

import random

from result import Err, Ok, Result

from crocusshunt.core import ManualClock
from crocusshunt.membership import (
    DetectorSettings,
    MembershipAgent,
    MemberTable,
    list_usable,
)
from crocusshunt.messages import (
    Body,
    FetchMembers,
    Member,
    PeerTimeoutError,
    Probe,
    RelayProbe,
    TransportError,
)
from crocusshunt.store import HostEntry, HostState

_REJOIN_ROUNDS = 5


def create_listing(regions: str, hosts: int) -> tuple[HostEntry, ...]:
    """Return a list of hosts, some in each region.

    :param regions: one letter for each region.
    """
    return tuple(
        HostEntry(
            f'{region}{number}',
            region,
            f'{region}-{number % 2}',
            f'http://{region}{number}',
            f'tcp://{region}{number}',
        )
        for region in regions
        for number in range(hosts)
    )


class Network:
    """Hosts of a deployment; paths between them can be cut."""

    def __init__(self, listing: tuple[HostEntry, ...], seed: int) -> None:
        """Start all hosts, each of which knows the whole list."""
        self.clock = ManualClock()
        self.listing = listing
        self.agents: dict[str, MembershipAgent] = {}
        self.down: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self._source = random.Random(seed)
        for entry in listing:
            self.start(entry)

    def start(self, entry: HostEntry, incarnation: int = 1) -> None:
        """Start a host, or start it again."""
        me = Member(
            entry.name,
            entry.region,
            entry.failure_domain,
            entry.gateway,
            entry.controller,
            incarnation,
        )
        table = MemberTable(me)
        self.agents[entry.name] = MembershipAgent(
            table,
            _Path(self, entry),
            self.clock,
            DetectorSettings(),
            self._source,
        )
        table.merge_listing(self.listing)
        self.down.discard(entry.name)

    async def run(self, seconds: int) -> None:
        """Let every host probe once a second."""
        for _ in range(seconds):
            for name, agent in tuple(self.agents.items()):
                if name not in self.down:
                    await self._probe(agent)
            self.clock.advance(1)

    def list_live(self, name: str) -> set[str]:
        """Return the names of the hosts that a host would offer."""
        table = self.agents[name].table
        listing = list_usable(table.me.region, table.members.values())
        return {
            host.name
            for host in listing.hosts
            if host.state is HostState.live
            and host.name not in listing.suspects
        }

    async def deliver(
        self,
        source: HostEntry,
        address: str,
        body: Body,
    ) -> Result[Body, TransportError]:
        """Carry a message and its answer, unless the path is cut."""
        target = address.removeprefix('tcp://')
        agent = self.agents.get(target)
        if agent is None or target in self.down:
            return Err(PeerTimeoutError(address))
        if frozenset((source.region, agent.table.me.region)) in self.cuts:
            return Err(PeerTimeoutError(address))
        if isinstance(body, Probe):
            return Ok(await agent.answer_probe(body))
        if isinstance(body, RelayProbe):
            return Ok(await agent.relay_probe(body))
        assert isinstance(body, FetchMembers)
        return Ok(await agent.list_members(body))

    async def _probe(self, agent: MembershipAgent) -> None:
        await agent.probe_same_region()
        await agent.probe_other_region()
        if int(self.clock.monotonic()) % _REJOIN_ROUNDS == 0:
            await agent.probe_lost()


class _Path:
    def __init__(self, network: Network, source: HostEntry) -> None:
        self._network = network
        self._source = source

    async def exchange(
        self,
        address: str,
        body: Body,
        timeout_s: float,
    ) -> Result[Body, TransportError]:
        return await self._network.deliver(self._source, address, body)
