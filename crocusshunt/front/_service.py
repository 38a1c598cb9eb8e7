"""The host's services: requests, look-ups, readiness, peers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from aiomisc import Service
from result import Err

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore, RowWrite
from crocusshunt.fleet import (
    FleetSettings,
    FleetView,
    HostRecord,
    open_datagram_endpoint,
)
from crocusshunt.front._directory import Directory, ReadyCheck
from crocusshunt.front._dispatch import Dispatcher
from crocusshunt.front._draining import drain_runner
from crocusshunt.front._exchange import Exchanger
from crocusshunt.front._followers import Followers
from crocusshunt.front._handler import (
    HandlerParts,
    InFlight,
    RequestHandler,
)
from crocusshunt.front._knowledge import Knowledge, KnowledgeParts
from crocusshunt.front._placing import Placer, PlacerState
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._reload import ReadSettings, SettingsReload
from crocusshunt.front._rounds import RoundParts, Rounds
from crocusshunt.front._settings import FrontSettings, SourceFormat
from crocusshunt.front._targets import TargetChooser
from crocusshunt.logs import log_event
from crocusshunt.placement import (
    ChoiceSettings,
    HealthBook,
    HealthSettings,
    ServerBook,
)
from crocusshunt.services import TaskGroup
from crocusshunt.sharing import (
    CustomerLimiter,
    DemandMeter,
    RetryLimit,
    RetryLimiter,
)
from crocusshunt.upstream import ConnectionPool, EchoPolicy, PoolSettings

_MILLISECONDS = 1000
_BACKLOG = 1024
_MAX_HEADER_BYTES = 65_536
_KEEPALIVE_S = 75
_STATUS_MISDIRECTED = 421
_REGISTER_PAUSE_S = 0.5
# Callers keep a look-up for about two seconds.
_LINGER_S = 2.5
_KILL_MARGIN_S = 0.5
# Retries that reach a server a little late still fall into the window.
_RETRY_MARGIN = 0.8

Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class FrontService(Service):
    """One host: everything it serves, in one process."""

    def __init__(
        self,
        settings: FrontSettings,
        source: SourceFormat,
        store: FeedStore,
        read_settings: ReadSettings,
        clock: Clock,
    ) -> None:
        """Assemble; nothing is opened yet.

        :param read_settings: reads the settings anew; they may change while
            the host runs.
        """
        super().__init__()
        self.settings = settings
        self._source = source
        self._store = store
        self._clock = clock
        self._tasks = TaskGroup()
        self._runners: list[web.ServerRunner] = []
        self._in_flight = InFlight()
        self._state = PlacerState()
        self._fleet_settings = FleetSettings()
        self._knowledge = self._create_knowledge()
        self._followers = Followers(store, source.tables, self._knowledge, clock)
        self._readiness = Readiness(
            self._knowledge,
            self._in_flight,
            self._followers.has_servers,
        )
        self._rounds = self._create_rounds()
        self._reload = SettingsReload(settings, read_settings, self._apply)

    def reload(self) -> None:
        """Read the settings anew, at once."""
        self._reload.request()

    async def start(self) -> None:
        """Listen, follow the tables, register this host."""
        settings = self.settings
        handler = self._create_handler()
        directory = Directory(
            self._knowledge.parts.fleet,
            self._readiness,
            self._clock,
            settings.bounds.max_lookup_ttl_s,
        )
        internal = f'{settings.ip}:{settings.internal_port}'
        await self._listen(settings.front_address, handler.handle)
        await self._listen(settings.directory_address, directory.handle)
        await self._listen(
            settings.ready_address,
            ReadyCheck(self._readiness).handle,
        )
        await self._listen(internal, self._followers.serve_image)
        self._rounds.endpoint = await open_datagram_endpoint(
            settings.ip,
            settings.internal_port,
            self._rounds.receive,
        )
        self._followers.start(self._tasks)
        self._tasks.start(self._register())
        self._tasks.start(self._reload.run())
        self._tasks.start(self._rounds.run())
        log_event('host started', host=settings.name, region=settings.region)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Leave the look-ups, finish what runs, close."""
        log_event('host stopping', in_flight=self._in_flight.count)
        kill_at = self._clock.monotonic() + self.settings.bounds.grace_s
        self._in_flight.is_leaving = True
        self._rounds.send_heartbeats()
        await asyncio.sleep(_LINGER_S)
        await drain_runner(
            self._runners[0],
            self._in_flight,
            kill_at - _KILL_MARGIN_S,
            self._clock,
        )
        log_event('host stopped', in_flight=self._in_flight.count)
        await self._tasks.stop()
        await self._followers.close()

    def _apply(self, settings: FrontSettings) -> None:
        self.settings = settings
        self._knowledge.parts.servers.set_regions(dict(settings.regions))
        self._store.redirect(settings.store_address)

    def _create_knowledge(self) -> Knowledge:
        settings = self.settings
        names = self._source.headers
        own = HostRecord(
            name=settings.name,
            ip=settings.ip,
            internal_port=settings.internal_port,
            front_address=settings.front_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
        echo = EchoPolicy(
            names.request_id.lower().encode(),
            names.not_run.lower().encode(),
            frozenset((_STATUS_MISDIRECTED,)),
        )
        parts = KnowledgeParts(
            ServerBook(dict(settings.regions)),
            HealthBook(HealthSettings()),
            FleetView(own, self._fleet_settings),
            ConnectionPool(PoolSettings(), echo, self._clock),
        )
        return Knowledge(parts, self._source, self._clock)

    def _create_rounds(self) -> Rounds:
        bounds = self.settings.bounds
        limit = RetryLimit(
            bounds.retry_ratio * _RETRY_MARGIN,
            bounds.retry_extra * _RETRY_MARGIN,
            bounds.retry_window_s,
        )
        parts = RoundParts(
            knowledge=self._knowledge,
            followers=self._followers,
            readiness=self._readiness,
            state=self._state,
            limiter=CustomerLimiter(),
            demand=DemandMeter(),
            retries=RetryLimiter(limit),
            tasks=self._tasks,
        )
        started_at = round(self._clock.wall() * _MILLISECONDS)
        return Rounds(parts, self._fleet_settings, self._clock, started_at)

    def _create_handler(self) -> RequestHandler:
        names = self._source.headers
        rounds = self._rounds.parts
        placer = Placer(
            self._knowledge,
            self._state,
            ChoiceSettings(),
            self._clock,
        )
        exchanger = Exchanger(self._knowledge, self._state, names, self._clock)
        parts = HandlerParts(
            knowledge=self._knowledge,
            limiter=rounds.limiter,
            demand=rounds.demand,
            targets=TargetChooser(),
            dispatcher=Dispatcher(
                placer,
                exchanger,
                rounds.retries,
                self._clock,
            ),
            in_flight=self._in_flight,
        )
        return RequestHandler(parts, names, self._clock)

    async def _listen(self, address: str, handle: Handle) -> None:
        host, _separator, port = address.rpartition(':')
        server = web.Server(
            handle,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=_KEEPALIVE_S,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        site = web.TCPSite(runner, host, int(port), backlog=_BACKLOG)
        await site.start()
        self._runners.append(runner)

    async def _register(self) -> None:
        """Write this host's record, until the store has taken it."""
        record = self._knowledge.parts.fleet.own
        write = RowWrite(
            self._source.tables.hosts,
            record.name,
            msgspec.json.encode(record),
        )
        while True:
            written = await self._store.write(write)
            if not isinstance(written, Err):
                log_event('host registered', host=record.name)
                return
            log_event('host not registered', cause=str(written.err_value))
            await asyncio.sleep(_REGISTER_PAUSE_S)
