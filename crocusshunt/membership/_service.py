"""Membership of a controller: the platform's list corrected by probes."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from crocusshunt.core import Clock, HostIdentity
from crocusshunt.membership._agent import MembershipAgent
from crocusshunt.membership._detector import DetectorSettings
from crocusshunt.membership._hosts import HostTable, list_usable
from crocusshunt.membership._table import MemberTable
from crocusshunt.membership._transport import SocketTransport
from crocusshunt.messages import (
    Body,
    FetchHosts,
    FetchMembers,
    Handlers,
    HostList,
    Member,
    Probe,
    RelayProbe,
    RequesterPool,
)

_MILLISECONDS = 1000
_LISTING_PERIOD_S = 1
_JITTER = 0.1


class MembershipService:
    """Probes other controllers and keeps the table of usable hosts.

    :ivar hosts: the hosts, as the other parts of the process see them.
    """

    def __init__(
        self,
        identity: HostIdentity,
        listing: HostTable,
        clock: Clock,
        source: Random,
        settings: DetectorSettings | None = None,
    ) -> None:
        """Assemble the parts; nothing runs yet.

        :param listing: the platform's list, polled here.
        :param source: randomness of the pace.
        """
        self.hosts = HostTable((), RequesterPool())
        self._identity = identity
        self._listing = listing
        self._clock = clock
        self._source = source
        self._settings = settings or DetectorSettings()
        self._transport = SocketTransport()
        self._agent: MembershipAgent | None = None
        self._seen_changes = 0

    def register(self, handlers: Handlers) -> None:
        """Answer the messages of membership."""
        handlers.register(FetchHosts)(self._list_hosts)
        handlers.register(Probe)(self._answer_probe)
        handlers.register(RelayProbe)(self._relay_probe)
        handlers.register(FetchMembers)(self._list_members)

    def join(self, address: str) -> None:
        """Become a member under the address that others can ask.

        :param address: ``tcp://ip:port`` of this host's controller.
        """
        self._agent = MembershipAgent(
            MemberTable(_create_me(self._identity, address, self._clock)),
            self._transport,
            self._clock,
            self._settings,
            self._source,
        )

    async def run(self) -> None:
        """Probe and follow the platform's list for ever."""
        agent = self._get_agent()
        settings = self._settings
        await asyncio.gather(
            self._repeat(self._follow_listing, _LISTING_PERIOD_S),
            self._repeat(agent.probe_same_region, settings.near_period_s),
            self._repeat(agent.probe_other_region, settings.far_period_s),
            self._repeat(agent.probe_lost, settings.rejoin_period_s),
        )

    async def leave(self, *, is_leaving: bool = True) -> None:
        """Tell other hosts at once that this one leaves, or is back."""
        agent = self._get_agent()
        agent.table.leave(is_leaving=is_leaving)
        self._publish()
        await agent.announce()

    def close(self) -> None:
        """Close all sockets."""
        self._transport.close()

    def _get_agent(self) -> MembershipAgent:
        if self._agent is None:
            raise RuntimeError('join before run')
        return self._agent

    async def _repeat(
        self,
        work: Callable[[], Awaitable[None]],
        period_s: float,
    ) -> None:
        while True:
            await work()
            self._publish()
            spread = self._source.uniform(-_JITTER, _JITTER)
            await asyncio.sleep(period_s * (1 + spread))

    async def _follow_listing(self) -> None:
        await self._listing.poll()
        self._get_agent().table.merge_listing(self._listing.hosts)

    def _publish(self) -> None:
        agent = self._get_agent()
        table = agent.table
        if not (self._listing.hosts or agent.has_synced):
            # A host that only just started knows too few to list them.
            return
        if table.changes != self._seen_changes:
            self._seen_changes = table.changes
            region = self._identity.region
            self.hosts.replace(list_usable(region, table.members.values()))

    async def _list_hosts(self, question: FetchHosts) -> Body:
        self._publish()
        return HostList(self.hosts.hosts, tuple(sorted(self.hosts.suspects)))

    async def _answer_probe(self, probe: Probe) -> Body:
        return await self._get_agent().answer_probe(probe)

    async def _relay_probe(self, question: RelayProbe) -> Body:
        return await self._get_agent().relay_probe(question)

    async def _list_members(self, question: FetchMembers) -> Body:
        return await self._get_agent().list_members(question)


def _create_me(
    identity: HostIdentity,
    address: str,
    clock: Clock,
) -> Member:
    """Return this host; its incarnation is the time of its start."""
    return Member(
        name=identity.name,
        region=identity.region,
        failure_domain=identity.failure_domain,
        gateway='',
        controller=address,
        incarnation=int(clock.wall() * _MILLISECONDS),
    )
