"""Service of the control process."""

import random
from typing import Any

from aiomisc import Service

from crocusshunt.controller._lending import Lending, LendingContext
from crocusshunt.controller._peers import HostPeers
from crocusshunt.controller._settings import ControllerSettings
from crocusshunt.core import Clock, Identifiers
from crocusshunt.membership import HostTable, MembershipService
from crocusshunt.messages import (
    FetchChanges,
    Handlers,
    Replier,
    RequesterPool,
)
from crocusshunt.relay import RelayedTables, RelaySettings
from crocusshunt.replication import Feed, Follower, FollowerSettings
from crocusshunt.services import TaskGroup


class ControllerService(Service):
    """Keeps the configuration, the hosts and the customers' tokens."""

    def __init__(self, settings: ControllerSettings, clock: Clock) -> None:
        """Assemble the parts; nothing runs yet."""
        super().__init__()
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
        self._follower = Follower(
            FollowerSettings(settings.controller.sources),
            self.feed,
            self._requesters,
            clock,
        )
        self._lending = self._create_lending(clock)
        self.replier = Replier(settings.controller.listen, self._register())

    async def start(self) -> None:
        """Listen and follow."""
        await self.replier.start()
        self.membership.join(self.replier.address)
        self._tasks.start(self._follower.run())
        self._tasks.start(self.membership.run())
        self._tasks.start(self._lending.loans.run())
        self._tasks.start(self._lending.run_supports())

    async def stop(self, exception: Exception | None = None) -> Any:
        """Announce the stop, stop all tasks and close all sockets."""
        await self.membership.leave()
        await self._tasks.stop()
        await self._lending.loans.leave()
        await self.replier.stop()
        self.membership.close()
        self._requesters.close()

    def _create_lending(self, clock: Clock) -> Lending:
        sources = self._settings.controller.sources
        return Lending(
            LendingContext(
                self._settings.host,
                Identifiers().create('controller'),
                lambda: self.feed.configuration.tables,
                HostPeers(self.hosts, self._requesters),
                RelayedTables(RelaySettings(sources), self._requesters),
                clock,
            ),
        )

    def _register(self) -> Handlers:
        handlers = Handlers()
        handlers.register(FetchChanges)(self.feed.answer)
        self._lending.register(handlers)
        self.membership.register(handlers)
        return handlers
