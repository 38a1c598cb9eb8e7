"""HTTP service for operators, and source of changes for controllers."""

from typing import Any

from aiohttp import web

from crocusshunt.api import _changes, _state
from crocusshunt.api._endpoints import ApiParts, route_endpoints
from crocusshunt.api._hosts import HostListing
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
    SnapshotArchive,
    Feed,
    Follower,
    FollowerSettings,
    StorePoller,
    TestimonyCollector,
    WitnessAnnouncer,
    WitnessHandler,
)
from crocusshunt.services import TaskGroup
from crocusshunt.web import HttpService

_MAX_BODY_BYTES = 16_777_216
# Modules whose import registers endpoints; a new module is added here.
ENDPOINT_MODULES = (_state, _changes)


class ApiService(HttpService):
    """Takes changes from operators and reads them back from the store."""

    def __init__(self, settings: ApiSettings, clock: Clock) -> None:
        """Assemble the parts; nothing runs yet."""
        super().__init__(settings.api.address, settings.api.port)
        self._tasks = TaskGroup()
        self._requesters = RequesterPool()
        self._platform = HttpPlatform(settings.platform)
        # Operators' few calls are not refused because polls have failed.
        self._operators_platform = HttpPlatform(settings.platform)
        self.feed = Feed(clock)
        repository = Repository(self._platform, clock)
        self._witness = WitnessHandler(repository, clock)
        self._origin = StorePoller(
            repository,
            self.feed,
            clock,
            self._witness.observe,
            SnapshotArchive(self._platform, repository),
        )
        self._parts = self._create_parts(settings, clock)
        self._replier = Replier(settings.api.listen, self._register())

    @property
    def address(self) -> str:
        """Return where controllers ask for changes."""
        return self._replier.address

    def create_application(self) -> web.Application:
        """Return the operators' application."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        route_endpoints(application.router, self._parts)
        return application

    async def start(self) -> None:
        """Read the store, listen for controllers and operators."""
        await self._replier.start()
        self._tasks.start(self._origin.run())
        self._start_witnessing()
        await super().start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop listening, then polling."""
        await super().stop(exception)
        await self._tasks.stop()
        await self._replier.stop()
        self._requesters.close()
        await self._platform.close()
        await self._operators_platform.close()

    def _create_parts(self, settings: ApiSettings, clock: Clock) -> ApiParts:
        platform = self._operators_platform
        repository = Repository(
            platform,
            clock,
            WitnessAnnouncer(self._requesters),
        )
        archive = SnapshotArchive(platform, repository)
        observe = self._witness.observe
        return ApiParts(
            settings=settings,
            clock=clock,
            platform=platform,
            repository=repository,
            feed=self.feed,
            origin=StorePoller(repository, self.feed, clock, observe, archive),
            archive=archive,
        )

    def _start_witnessing(self) -> None:
        parts = self._parts
        collector = TestimonyCollector(
            self.feed,
            self._requesters,
            parts.clock,
        )
        self._tasks.start(collector.run())
        self._tasks.start(
            self._witness.run(
                lambda: self.address in self.feed.witness_addresses
            ),
        )
        if parts.settings.api.peers:
            follower = Follower(
                FollowerSettings(parts.settings.api.peers),
                self.feed,
                self._requesters,
                parts.clock,
            )
            self._tasks.start(follower.run())

    def _register(self) -> Handlers:
        handlers = Handlers()
        handlers.register(FetchChanges)(self.feed.answer)
        listing = HostListing(self._platform, self._parts.clock)
        handlers.register(FetchHosts)(listing.answer)
        self._witness.register(handlers)
        register_relay(handlers, self._platform)
        return handlers
