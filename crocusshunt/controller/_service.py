"""Service of the control process."""

import asyncio
import random

from crocusshunt.configuration import Repository
from crocusshunt.controller._gateway_monitor import GatewayMonitor
from crocusshunt.controller._lending import Lending, LendingContext
from crocusshunt.controller._peers import HostPeers
from crocusshunt.controller._settings import ControllerSettings
from crocusshunt.controller._shifts import ShiftRunner, ShiftSources
from crocusshunt.core import Clock, IdentifierGenerator
from crocusshunt.membership import HostTable, MembershipService
from crocusshunt.messages import (
    FetchChanges,
    GatewayHeartbeat,
    Handlers,
    Replier,
    RequesterPool,
)
from crocusshunt.relay import RelayedTables, RelaySettings
from crocusshunt.replication import Feed, Follower, FollowerSettings
from crocusshunt.services import TaskGroup
from crocusshunt.steering import Readings


class ControllerService:
    """Runs the control process of a host.

    It follows the configuration, probes the other hosts, lends customers'
    tokens and advances the shifts.
    """

    def __init__(self, settings: ControllerSettings, clock: Clock) -> None:
        """Assemble the parts; nothing runs yet."""
        self._settings = settings
        self._tasks = TaskGroup()
        self._requesters = RequesterPool()
        self.feed = Feed(clock)
        self.membership = MembershipService(
            settings.host,
            HostTable(settings.controller.sources, self._requesters),
            clock,
            random.SystemRandom(),
        )
        self.hosts = self.membership.hosts
        self.readings = Readings()
        self._follower = Follower(
            FollowerSettings(settings.controller.sources),
            self.feed,
            self._requesters,
            clock,
        )
        self._shifts = self._create_shift_runner(clock)
        self._lending = self._create_lending(clock)
        self._presence = GatewayMonitor(self.membership, clock)
        self.replier = Replier(settings.controller.listen, self._register())

    async def serve(self, stopping: asyncio.Event) -> None:
        """Run until an event is set."""
        await self.start()
        await stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Listen, join the membership and start the background tasks."""
        await self.replier.start()
        self.membership.join(self.replier.address)
        self._tasks.start(self._follower.run())
        self._tasks.start(self.membership.run())
        self._tasks.start(self._presence.run())
        self._tasks.start(self._shifts.run())
        self._tasks.start(self._lending.loans.run())
        self._tasks.start(self._lending.run_support_collection())

    async def stop(self) -> None:
        """Announce the stop, release all leases and close all sockets."""
        await self.membership.set_leaving()
        await self._tasks.stop()
        await self._lending.loans.release_all()
        await self.replier.stop()
        self.membership.close()
        self._requesters.close()

    def _create_shift_runner(self, clock: Clock) -> ShiftRunner:
        relay = RelaySettings(self._settings.controller.sources)
        sources = ShiftSources(
            lambda: self.feed.configuration,
            lambda: tuple(host.name for host in self.hosts.find_live()),
            lambda: self.readings,
        )
        return ShiftRunner(
            self._settings.host.name,
            sources,
            Repository(RelayedTables(relay, self._requesters), clock),
            clock,
        )

    def _create_lending(self, clock: Clock) -> Lending:
        sources = self._settings.controller.sources
        return Lending(
            LendingContext(
                self._settings.host,
                IdentifierGenerator().create('controller'),
                lambda: self.feed.configuration.tables,
                HostPeers(self.hosts, self._requesters),
                RelayedTables(RelaySettings(sources), self._requesters),
                clock,
            ),
        )

    def _register(self) -> Handlers:
        handlers = Handlers()
        handlers.register(FetchChanges)(self.feed.answer)
        handlers.register(GatewayHeartbeat)(self._presence.answer)
        self._lending.register(handlers)
        self.membership.register(handlers)
        return handlers
