"""Membership in a controller: the platform's list, corrected by probes."""

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
_JITTER_RATIO = 0.1


class MembershipService:
    """Probes other controllers and keeps the table of usable hosts.

    :ivar hosts: the usable hosts, for the other parts of the process.
    """

    def __init__(
        self,
        identity: HostIdentity,
        listing: HostTable,
        clock: Clock,
        random_source: Random,
        settings: DetectorSettings | None = None,
    ) -> None:
        """Assemble the parts; nothing runs yet.

        :param listing: the platform's list, polled by this service.
        :param random_source: source of the random choice of hosts and of the
            jitter of the time between probes.
        """
        self.hosts = HostTable((), RequesterPool())
        self._identity = identity
        self._listing = listing
        self._clock = clock
        self._random_source = random_source
        self._settings = settings or DetectorSettings()
        self._transport = SocketTransport()
        self._agent: MembershipAgent | None = None
        self._seen_change_count = 0

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of membership messages."""
        handlers.register(FetchHosts)(self._list_hosts)
        handlers.register(Probe)(self._answer_probe)
        handlers.register(RelayProbe)(self._relay_probe)
        handlers.register(FetchMembers)(self._list_members)

    def join(self, address: str) -> None:
        """Become a member, reachable at an address.

        :param address: ``tcp://ip:port`` of this host's controller.
        """
        self._agent = MembershipAgent(
            MemberTable(
                _create_local_member(self._identity, address, self._clock)
            ),
            self._transport,
            self._clock,
            self._settings,
            self._random_source,
        )

    async def run(self) -> None:
        """Probe other hosts and poll the platform's list for ever."""
        agent = self._get_agent()
        settings = self._settings
        await asyncio.gather(
            self._run_periodically(self._poll_listing, _LISTING_PERIOD_S),
            self._run_periodically(
                agent.probe_same_region, settings.same_region_period_s
            ),
            self._run_periodically(
                agent.probe_other_region, settings.other_region_period_s
            ),
            self._run_periodically(agent.probe_lost, settings.rejoin_period_s),
        )

    async def set_leaving(self, *, is_leaving: bool = True) -> None:
        """Announce at once that this host is leaving, or that it is back."""
        agent = self._get_agent()
        agent.table.set_leaving(is_leaving=is_leaving)
        self._publish()
        await agent.announce()

    def close(self) -> None:
        """Close all sockets."""
        self._transport.close()

    def _get_agent(self) -> MembershipAgent:
        if self._agent is None:
            raise RuntimeError(
                'join() must be called before the membership is used'
            )
        return self._agent

    async def _run_periodically(
        self,
        work: Callable[[], Awaitable[None]],
        period_s: float,
    ) -> None:
        while True:
            await work()
            self._publish()
            spread = self._random_source.uniform(-_JITTER_RATIO, _JITTER_RATIO)
            await asyncio.sleep(period_s * (1 + spread))

    async def _poll_listing(self) -> None:
        await self._listing.poll()
        self._get_agent().table.merge_listing(self._listing.hosts)

    def _publish(self) -> None:
        agent = self._get_agent()
        table = agent.table
        if not (self._listing.hosts or agent.has_synced):
            # A host that has just started knows too few hosts to publish them.
            return
        if table.change_count != self._seen_change_count:
            self._seen_change_count = table.change_count
            region = self._identity.region
            self.hosts.replace(list_usable(region, table.members.values()))

    async def _list_hosts(self, request: FetchHosts) -> Body:
        self._publish()
        return HostList(self.hosts.hosts, tuple(sorted(self.hosts.suspects)))

    async def _answer_probe(self, probe: Probe) -> Body:
        return await self._get_agent().answer_probe(probe)

    async def _relay_probe(self, request: RelayProbe) -> Body:
        return await self._get_agent().relay_probe(request)

    async def _list_members(self, request: FetchMembers) -> Body:
        return await self._get_agent().list_members(request)


def _create_local_member(
    identity: HostIdentity,
    address: str,
    clock: Clock,
) -> Member:
    """Return the member that describes this host.

    Its incarnation is the wall-clock time of the start, in milliseconds, so
    that it normally grows with each restart.
    """
    return Member(
        name=identity.name,
        region=identity.region,
        failure_domain=identity.failure_domain,
        gateway='',
        controller=address,
        incarnation=int(clock.wall() * _MILLISECONDS),
    )
