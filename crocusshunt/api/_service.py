"""HTTP server for operators, and message server for controllers."""

from typing import Any

from aiohttp import web

from crocusshunt.api import _changes, _state
from crocusshunt.api._endpoints import ApiContext, add_endpoint_routes
from crocusshunt.api._hosts import HostListCache
from crocusshunt.api._settings import ApiSettings
from crocusshunt.configuration import Repository
from crocusshunt.core import Clock
from crocusshunt.messages import (
    FetchChanges,
    FetchHosts,
    Handlers,
    Replier,
    RequesterPool,
)
from crocusshunt.storeclient import HttpPlatform
from crocusshunt.relay import register_relay
from crocusshunt.replication import (
    Feed,
    Follower,
    FollowerSettings,
    SnapshotArchive,
    StorePoller,
    TestimonyCollector,
    WitnessAnnouncer,
    WitnessHandler,
)
from crocusshunt.services import TaskGroup
from crocusshunt.web import HttpService

_MAX_BODY_BYTES = 16_777_216
# Importing these modules registers their endpoints; a new one must be added.
ENDPOINT_MODULES = (_state, _changes)


class ApiService(HttpService):
    """Accepts changes from operators and serves all changes to controllers.

    The process also acts as a witness if the configuration lists it as one.
    """

    def __init__(self, settings: ApiSettings, clock: Clock) -> None:
        """Create the components without starting any task."""
        super().__init__(settings.api.address, settings.api.port)
        self._tasks = TaskGroup()
        self._requesters = RequesterPool()
        self._platform = HttpPlatform(settings.platform)
        # A client for operators' calls only: after failed polls, the circuit
        # breaker of the other client refuses calls, but not those of operators.
        self._operators_platform = HttpPlatform(settings.platform)
        self.feed = Feed(clock)
        repository = Repository(self._platform, clock)
        self._witness = WitnessHandler(repository, clock)
        self._store_poller = StorePoller(
            repository,
            self.feed,
            clock,
            self._witness.observe,
            SnapshotArchive(self._platform, repository),
        )
        self._context = self._create_context(settings, clock)
        self._replier = Replier(settings.api.listen, self._create_handlers())

    @property
    def address(self) -> str:
        """Return the address at which controllers fetch changes."""
        return self._replier.address

    def create_application(self) -> web.Application:
        """Return the HTTP application with all endpoints."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        add_endpoint_routes(application.router, self._context)
        return application

    async def start(self) -> None:
        """Start the message server, the tasks and the HTTP server."""
        await self._replier.start()
        self._tasks.start(self._store_poller.run())
        self._start_witness_tasks()
        await super().start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop the HTTP server, the tasks, the message server and clients."""
        await super().stop(exception)
        await self._tasks.stop()
        await self._replier.stop()
        self._requesters.close()
        await self._platform.close()
        await self._operators_platform.close()

    def _create_context(
        self,
        settings: ApiSettings,
        clock: Clock,
    ) -> ApiContext:
        platform = self._operators_platform
        repository = Repository(
            platform,
            clock,
            WitnessAnnouncer(self._requesters),
        )
        archive = SnapshotArchive(platform, repository)
        observe = self._witness.observe
        return ApiContext(
            settings=settings,
            clock=clock,
            platform=platform,
            repository=repository,
            feed=self.feed,
            store_poller=StorePoller(
                repository, self.feed, clock, observe, archive
            ),
            archive=archive,
        )

    def _start_witness_tasks(self) -> None:
        context = self._context
        collector = TestimonyCollector(
            self.feed,
            self._requesters,
            context.clock,
        )
        self._tasks.start(collector.run())
        self._tasks.start(
            self._witness.run(
                lambda: self.address in self.feed.witness_addresses
            ),
        )
        if context.settings.api.peers:
            follower = Follower(
                FollowerSettings(context.settings.api.peers),
                self.feed,
                self._requesters,
                context.clock,
            )
            self._tasks.start(follower.run())

    def _create_handlers(self) -> Handlers:
        handlers = Handlers()
        handlers.register(FetchChanges)(self.feed.answer)
        host_list = HostListCache(self._platform, self._context.clock)
        handlers.register(FetchHosts)(host_list.answer)
        self._witness.register(handlers)
        register_relay(handlers, self._platform)
        return handlers
