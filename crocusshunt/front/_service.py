"""Service of a host: requests, lookups, readiness, metrics, peers."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any

from aiohttp import web
from aiomisc import Service

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore
from crocusshunt.fleet import open_datagram_endpoint
from crocusshunt.front._answer_memory import AnswerKeeper
from crocusshunt.front._answering import AnsweringServer
from crocusshunt.front._assembly import assemble_host
from crocusshunt.front._bodies import get_request_limits
from crocusshunt.front._directory import Directory, ReadyCheck
from crocusshunt.front._draining import drain_runners
from crocusshunt.front._headers import RELAYED_BY
from crocusshunt.front._ingress import Port
from crocusshunt.front._metrics import MetricsEndpoint
from crocusshunt.front._pipelining import PipelinedServer
from crocusshunt.front._registration import Registration
from crocusshunt.front._reload import ReadSettings, SettingsReload
from crocusshunt.front._settings import FrontSettings, SourceFormat
from crocusshunt.http1 import ReadLimits
from crocusshunt.logs import log_event

# Connections that wait are all taken at once, before others make room.
_MAX_BACKLOG_COUNT = 1024
_BACKLOG_FRACTION = 0.1
# Fields of requests between hosts: those of a caller, by a configuration that
# may be newer than this host's, and those that the other host adds.
_MIN_HOST_FIELD_BYTES = 65_536
_ADDED_FIELD_BYTES = 4096
# Idle connections are closed by their own limits, not by the library's.
_KEEPALIVE_S = 1_000_000
# A stopping host accepts requests for so long, since callers cache lookups.
# Callers that come later get no connection and go on to another host.
_ACCEPT_AT_STOP_S = 2.5
# Requests at a stopping host are answered this long before the process is
# killed, as a fraction of the time until then. What waits behind them on their
# connections is sent after that.
_ANSWER_MARGIN_FRACTION = 0.15
# Draining ends this long before the process is killed, as such a fraction.
_KILL_MARGIN_FRACTION = 0.07
_SERVER_OPTIONS: Mapping[str, Any] = MappingProxyType(
    {
        'access_log': None,
        'handler_cancellation': True,
        'keepalive_timeout': _KEEPALIVE_S,
    },
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class FrontService(Service):
    """Runs one host: all of its servers and background tasks."""

    def __init__(
        self,
        settings: FrontSettings,
        source: SourceFormat,
        store: FeedStore,
        read_settings: ReadSettings,
        clock: Clock,
    ) -> None:
        """Create the components; nothing is opened yet.

        :param read_settings: reads the settings again; they may change while
            the host runs.
        """
        super().__init__()
        self.settings = settings
        self._store = store
        self._clock = clock
        self._runners: list[web.ServerRunner] = []
        # Those that requests to be sent to servers come in through.
        self._request_runners: list[web.ServerRunner] = []
        self._components = assemble_host(settings, source, store, clock)
        self._keeper = AnswerKeeper(
            self._components.cluster.connections.buffer_limit,
            self._components.ingress.ledger,
        )
        self._reload = SettingsReload(settings, read_settings, self._apply)

    def reload(self) -> None:
        """Read the settings again at once."""
        self._reload.request()

    async def start(self) -> None:
        """Open the ports, start the background tasks, register this host."""
        await self._listen_all()
        settings = self.settings
        components = self._components
        components.heartbeat_loop.outbox.endpoint = (
            await open_datagram_endpoint(
                settings.ip,
                settings.internal_port,
                components.heartbeat_loop.receive,
            )
        )
        tasks = components.heartbeat_loop.tasks
        components.followers.start(tasks)
        registration = Registration(
            components.cluster.fleet.own,
            self._store,
            components.followers.hosts,
            self._clock,
        )
        tasks.keep('register', registration.run)
        tasks.keep('crash records', components.records.run)
        tasks.keep('reload settings', self._reload.run)
        tasks.keep('heartbeats', components.heartbeat_loop.run)
        tasks.keep('watch readiness', components.readiness_watch.run)
        log_event('host started', host=settings.name, region=settings.region)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Leave the lookups, finish requests in flight, and close."""
        components = self._components
        log_event('host stopping', in_flight=components.handler.in_flight.count)
        now = self._clock.monotonic()
        grace_s = self.settings.limits.grace_s
        components.handler.in_flight.stop(
            now + grace_s * (1 - _ANSWER_MARGIN_FRACTION), now
        )
        components.heartbeat_loop.send_heartbeats()
        await asyncio.sleep(_ACCEPT_AT_STOP_S)
        await drain_runners(
            self._request_runners,
            components.handler.in_flight,
            now + grace_s * (1 - _KILL_MARGIN_FRACTION),
            self._clock,
        )
        log_event('host stopped', in_flight=components.handler.in_flight.count)
        await components.heartbeat_loop.tasks.stop()
        await components.followers.close()

    def _apply(self, settings: FrontSettings) -> None:
        self.settings = settings
        self._components.cluster.servers.assign_regions(dict(settings.regions))
        self._store.redirect(settings.store_address)

    async def _listen_all(self) -> None:
        settings = self.settings
        components = self._components
        directory = Directory(
            components.cluster.fleet,
            components.readiness,
            components.reach,
            self._clock,
            settings.limits.max_lookup_ttl_s,
        )
        ready = ReadyCheck(components.readiness_watch)
        internal = f'{settings.ip}:{settings.internal_port}'
        front = PipelinedServer(
            components.handler,
            self._keeper,
            **self._get_server_options(Port.callers),
        )
        self._request_runners.append(
            await self._listen_with(settings.front_address, front)
        )
        await self._listen(
            settings.directory_address, Port.directory, directory.handle
        )
        await self._listen(settings.ready_address, Port.readiness, ready.handle)
        self._request_runners.append(
            await self._listen(internal, Port.hosts, self._serve_host)
        )
        metrics = f'{settings.ip}:{settings.internal_port + 1}'
        await self._listen(
            metrics, Port.metrics, MetricsEndpoint(components).handle
        )

    def _get_read_limits(self) -> ReadLimits:
        limits = get_request_limits(self._components.cluster.index)
        return ReadLimits(limits.header_bytes)

    def _get_host_read_limits(self) -> ReadLimits:
        limits = get_request_limits(self._components.cluster.index)
        passed_on = max(limits.header_bytes, _MIN_HOST_FIELD_BYTES)
        return ReadLimits(passed_on + _ADDED_FIELD_BYTES)

    async def _serve_host(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer another host: a request passed on, or a copy of a table."""
        if RELAYED_BY in request.headers:
            return await self._components.handler.respond_relayed(request)
        return await self._components.followers.serve_image(request)

    async def _listen(
        self, address: str, port: Port, handle: Handler
    ) -> web.ServerRunner:
        options = self._get_server_options(port)
        server = AnsweringServer(handle, self._keeper, **options)
        return await self._listen_with(address, server)

    def _get_server_options(self, port: Port) -> dict[str, Any]:
        return {
            'port': port,
            'library_responses': self._components.library_responses,
            'get_limits': self._get_host_read_limits
            if port is Port.hosts
            else self._get_read_limits,
            'ingress': self._components.ingress,
            **_SERVER_OPTIONS,
        }

    async def _listen_with(
        self, address: str, server: web.Server
    ) -> web.ServerRunner:
        host, _separator, port = address.rpartition(':')
        runner = web.ServerRunner(server)
        await runner.setup()
        most = int(self.settings.max_descriptors * _BACKLOG_FRACTION)
        backlog = min(_MAX_BACKLOG_COUNT, most)
        site = web.TCPSite(runner, host, int(port), backlog=backlog)
        await site.start()
        self._runners.append(runner)
        return runner
