"""Hosts that exchange messages in memory, under one manual clock."""

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

_REJOIN_PERIOD_S = 5


def create_listing(regions: str, hosts: int) -> tuple[HostEntry, ...]:
    """Return a list with the same number of hosts in each region.

    :param regions: the names of the regions, one letter each.
    :param hosts: number of hosts in each region.
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
    """Hosts of a deployment; regions can be cut off from each other."""

    def __init__(self, listing: tuple[HostEntry, ...], seed: int) -> None:
        """Start all hosts, each of which knows the whole list."""
        self.clock = ManualClock()
        self.listing = listing
        self.agents: dict[str, MembershipAgent] = {}
        self.stopped_hosts: set[str] = set()
        self.cut_regions: set[frozenset[str]] = set()
        self._random_source = random.Random(seed)
        for entry in listing:
            self.start(entry)

    def start(self, entry: HostEntry, incarnation: int = 1) -> None:
        """Start a host, or start it again."""
        local_member = Member(
            entry.name,
            entry.region,
            entry.failure_domain,
            entry.gateway,
            entry.controller,
            incarnation,
        )
        table = MemberTable(local_member)
        self.agents[entry.name] = MembershipAgent(
            table,
            _NetworkTransport(self, entry),
            self.clock,
            DetectorSettings(),
            self._random_source,
        )
        table.merge_listing(self.listing)
        self.stopped_hosts.discard(entry.name)

    async def run(self, seconds: int) -> None:
        """Let every host probe once a second."""
        for _ in range(seconds):
            for name, agent in tuple(self.agents.items()):
                if name not in self.stopped_hosts:
                    await self._probe(agent)
            self.clock.advance(1)

    def list_live(self, name: str) -> set[str]:
        """Return the live hosts without suspects that a host would publish."""
        table = self.agents[name].table
        listing = list_usable(table.local_member.region, table.members.values())
        return {
            host.name
            for host in listing.hosts
            if host.state is HostState.live
            and host.name not in listing.suspects
        }

    async def deliver(
        self,
        sender: HostEntry,
        address: str,
        body: Body,
    ) -> Result[Body, TransportError]:
        """Deliver a message and its answer, unless the regions are cut off."""
        target = address.removeprefix('tcp://')
        agent = self.agents.get(target)
        if agent is None or target in self.stopped_hosts:
            return Err(PeerTimeoutError(address))
        if (
            frozenset((sender.region, agent.table.local_member.region))
            in self.cut_regions
        ):
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
        if int(self.clock.monotonic()) % _REJOIN_PERIOD_S == 0:
            await agent.probe_lost()


class _NetworkTransport:
    def __init__(self, network: Network, sender: HostEntry) -> None:
        self._network = network
        self._sender = sender

    async def exchange(
        self,
        address: str,
        body: Body,
        timeout_s: float,
    ) -> Result[Body, TransportError]:
        return await self._network.deliver(self._sender, address, body)
