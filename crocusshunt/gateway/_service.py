"""HTTP service of the gateway."""

import asyncio
import random
from typing import Any

from aiohttp import web

from crocusshunt.core import Clock, IdentifierGenerator
from crocusshunt.delivery import Claimant, Forwarder
from crocusshunt.gateway._admission import AdmissionControl
from crocusshunt.gateway._assembly import DispatchContext, create_dispatcher
from crocusshunt.gateway._claiming import ClaimLedger
from crocusshunt.gateway._draining import DrainHook, DrainPhase, InFlight
from crocusshunt.gateway._handling import RequestHandler, RequestParts
from crocusshunt.gateway._heartbeat import HeartbeatSender
from crocusshunt.gateway._limits import Limiter
from crocusshunt.gateway._outcome_recorder import OutcomeRecorder
from crocusshunt.gateway._settings import DeliveryPolicy, GatewaySettings
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.gateway._sweeping import ClaimSweeper
from crocusshunt.gateway._tracing import Tracer
from crocusshunt.messages import RequesterPool
from crocusshunt.metrics import MetricsSettings, RequestMetrics
from crocusshunt.storeclient import HttpPlatform
from crocusshunt.replication import Feed, Follower, FollowerSettings
from crocusshunt.services import TaskGroup
from crocusshunt.web import HttpService


class GatewayService(HttpService):
    """HTTP service that admits requests and forwards them to servers."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        source: random.Random,
        policy: DeliveryPolicy | None = None,
    ) -> None:
        """Assemble the parts without starting them.

        :param source: randomness for identifiers and the choice of servers.
        :param policy: queueing, ejection and retries; defaults if None.
        """
        self._policy = policy or DeliveryPolicy()
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
        self._settings = settings
        self._clock = clock
        self._platform = HttpPlatform(settings.platform)
        self._suspects = SuspectRegistry(self._platform, clock)
        self._sweeper = ClaimSweeper(self._platform, clock)
        self._in_flight = InFlight()
        self._heartbeats = HeartbeatSender(
            section.controller,
            self._requesters,
        )
        self._drain_hooks: list[DrainHook] = [
            self._heartbeats.announce_leave,
        ]
        self._forwarder = Forwarder()
        self.metrics = RequestMetrics(MetricsSettings())
        identifiers = IdentifierGenerator(source)
        self._handler = RequestHandler(
            self._create_request_parts(identifiers),
            clock,
            identifiers,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of running requests."""
        return len(self._in_flight)

    def on_drain(self, hook: DrainHook) -> None:
        """Register a function to call when the drain begins.

        Its task is to remove the host from the locator's answers; the stop
        then waits until earlier answers have expired.
        """
        self._drain_hooks.append(hook)

    def create_application(self) -> web.Application:
        """Return an application that handles every method and path."""
        application = web.Application(client_max_size=0)
        application.router.add_route(
            '*',
            '/{path:.*}',
            self._handler.handle,
            expect_handler=_defer_continue,
        )
        return application

    async def start(self) -> None:
        """Start the background tasks and listen."""
        await self._forwarder.start()
        self._tasks.start(self._follower.run())
        self._tasks.start(self._suspects.run())
        self._tasks.start(self._heartbeats.run())
        self._tasks.start(self._sweeper.run())
        await super().start()

    async def begin_drain(self) -> None:
        """Mark this host as leaving and call the drain functions.

        The host still accepts requests.
        """
        if self._in_flight.phase is not DrainPhase.serving:
            return
        self._in_flight.phase = DrainPhase.leaving
        for hook in self._drain_hooks:
            await hook()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop gracefully.

        The host is removed from the locator's answers and waits until
        earlier answers have expired. Then it refuses new requests, waits
        up to ``finish_s`` seconds for running ones and cancels the rest.
        """
        section = self._settings.gateway
        await self.begin_drain()
        await asyncio.sleep(section.answer_lifetime_s)
        await self._in_flight.finish(section.finish_s)
        await super().stop(exception)
        await self._tasks.stop()
        await self._forwarder.stop()
        await self._platform.close()
        self._requesters.close()

    def _create_request_parts(
        self, identifiers: IdentifierGenerator
    ) -> RequestParts:
        section = self._settings.gateway
        admission_control = AdmissionControl(self.feed, section.key_evidence_s)
        limiter = Limiter(
            section.controller,
            self._requesters,
            self._clock,
            identifiers,
        )
        owner = Claimant(
            self._settings.host.name,
            identifiers.create('process'),
            '',
        )
        return RequestParts(
            admission_control,
            limiter,
            OutcomeRecorder(
                ClaimLedger(self._platform, self._clock, owner),
                self._suspects,
                self._in_flight,
                self._tasks,
            ),
            self._suspects,
            create_dispatcher(
                DispatchContext(
                    self._settings.host.region,
                    self.feed,
                    admission_control,
                    self._suspects,
                    self._forwarder,
                    self._clock,
                    identifiers.source,
                ),
                self._policy,
            ),
            self._in_flight,
            Tracer(self._settings.host, self._clock, self.metrics),
        )


async def _defer_continue(request: web.Request) -> None:
    """Send no 100 Continue before the request is admitted."""
