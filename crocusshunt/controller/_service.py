"""Service of the control process."""

from typing import Any

from aiomisc import Service

from crocusshunt.membership import HostTable
from crocusshunt.controller._lending import Lending, LendingContext
from crocusshunt.controller._peers import HostPeers
from crocusshunt.controller._settings import ControllerSettings
from crocusshunt.core import Clock, Identifiers
from crocusshunt.messages import (
    Body,
    FetchChanges,
    FetchHosts,
    Handlers,
    HostList,
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
        self.hosts = HostTable(settings.controller.sources, self._requesters)
        self._follower = Follower(
            FollowerSettings(settings.controller.sources),
            self.feed,
            self._requesters,
            clock,
        )
        self._lending = Lending(
            LendingContext(
                settings.host,
                Identifiers().create('controller'),
                lambda: self.feed.configuration.tables,
                HostPeers(self.hosts, self._requesters),
                RelayedTables(
                    RelaySettings(settings.controller.sources),
                    self._requesters,
                ),
                clock,
            ),
        )
        self.replier = Replier(settings.controller.listen, self._register())

    async def start(self) -> None:
        """Listen and follow."""
        await self.replier.start()
        self._tasks.start(self._follower.run())
        self._tasks.start(self.hosts.run())
        self._tasks.start(self._lending.loans.run())
        self._tasks.start(self._lending.run_supports())

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop all tasks and close all sockets."""
        await self._tasks.stop()
        await self._lending.loans.leave()
        await self.replier.stop()
        self._requesters.close()

    def _register(self) -> Handlers:
        handlers = Handlers()
        handlers.register(FetchChanges)(self.feed.answer)
        self._lending.register(handlers)
        handlers.register(FetchHosts)(self._list_hosts)
        return handlers

    async def _list_hosts(self, question: FetchHosts) -> Body:
        return HostList(self.hosts.hosts)
