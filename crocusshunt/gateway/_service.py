"""HTTP service of the gateway."""

import random
from typing import Any

from aiohttp import web

from crocusshunt.core import Clock, Identifiers
from crocusshunt.delivery import Forwarder, ServerLoads
from crocusshunt.gateway._admission import Gatekeeper
from crocusshunt.gateway._handling import Desk, RequestHandler
from crocusshunt.gateway._limits import Limiter
from crocusshunt.gateway._settings import GatewaySettings
from crocusshunt.messages import RequesterPool
from crocusshunt.replication import Feed, Follower, FollowerSettings
from crocusshunt.services import HttpService, TaskGroup


class GatewayService(HttpService):
    """Admits requests and forwards them."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Assemble the parts; nothing runs yet."""
        section = settings.gateway
        super().__init__(section.address, section.port)
        self._tasks = TaskGroup()
        self._requesters = RequesterPool()
        self.feed = Feed(clock)
        self._follower = Follower(
            FollowerSettings((section.controller,)),
            self.feed,
            self._requesters,
            clock,
        )
        self._forwarder = Forwarder()
        identifiers = Identifiers(source)
        limiter = Limiter(
            section.controller,
            self._requesters,
            clock,
            identifiers,
        )
        self._handler = RequestHandler(
            Desk(
                Gatekeeper(self.feed, section.key_evidence_s),
                limiter,
                self._forwarder,
                ServerLoads(),
            ),
            clock,
            identifiers,
        )

    def create_application(self) -> web.Application:
        """Return an application that takes every path."""
        application = web.Application(client_max_size=0)
        application.router.add_route('*', '/{path:.*}', self._handler.handle)
        return application

    async def start(self) -> None:
        """Follow the controller and listen."""
        await self._forwarder.start()
        self._tasks.start(self._follower.run())
        await super().start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Finish requests, then stop following."""
        await super().stop(exception)
        await self._tasks.stop()
        await self._forwarder.stop()
        self._requesters.close()
