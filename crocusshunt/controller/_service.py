"""Service of the control process."""

import random
from typing import Any

from aiomisc import Service

from crocusshunt.membership import HostTable, MembershipService
from crocusshunt.controller._loans import LoanDesk
from crocusshunt.controller._settings import ControllerSettings
from crocusshunt.core import Clock
from crocusshunt.messages import (
    BorrowTokens,
    FetchChanges,
    Handlers,
    Replier,
    RequesterPool,
)
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
        self._loans = LoanDesk(
            settings.host,
            self.feed,
            self.hosts,
            self._requesters,
            clock,
        )
        self.replier = Replier(settings.controller.listen, self._register())

    async def start(self) -> None:
        """Listen and follow."""
        await self.replier.start()
        self.membership.join(self.replier.address)
        self._tasks.start(self._follower.run())
        self._tasks.start(self.membership.run())

    async def stop(self, exception: Exception | None = None) -> Any:
        """Announce the stop, stop all tasks and close all sockets."""
        await self.membership.leave()
        await self._tasks.stop()
        await self.replier.stop()
        self.membership.close()
        self._requesters.close()

    def _register(self) -> Handlers:
        handlers = Handlers()
        handlers.register(FetchChanges)(self.feed.answer)
        handlers.register(BorrowTokens)(self._loans.answer)
        self.membership.register(handlers)
        return handlers
