"""Servers of a host, and the ports that they listen at."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from math import inf
from types import MappingProxyType
from typing import Any

from aiohttp import web

from crocusshunt.core import Clock
from crocusshunt.fleet import open_datagram_endpoint
from crocusshunt.front._answer_memory import AnswerKeeper
from crocusshunt.front._answering import AnsweringServer
from crocusshunt.front._assembly import HostComponents
from crocusshunt.front._bodies import get_request_limits
from crocusshunt.front._directory import Directory, ReadyCheck
from crocusshunt.front._headers import RELAYED_BY
from crocusshunt.front._ingress import Port
from crocusshunt.front._metrics import MetricsEndpoint
from crocusshunt.front._pipelining import PipelinedServer
from crocusshunt.front._ports import MAX_WAIT_S, HostPorts, bind_listener
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front._settings import FrontSettings
from crocusshunt.http1 import ReadLimits

# Connections that wait are all taken at once, before others make room.
_MAX_BACKLOG_COUNT = 1024
_BACKLOG_FRACTION = 0.1
# Fields of requests between hosts: those of a caller, by a configuration that
# may be newer than this host's, and those that the other host adds.
_MIN_HOST_FIELD_BYTES = 65_536
_ADDED_FIELD_BYTES = 4096
# Idle connections are closed by their own limits, not by the library's.
_KEEPALIVE_S = 1_000_000
_SERVER_OPTIONS: Mapping[str, Any] = MappingProxyType(
    {
        'access_log': None,
        'handler_cancellation': True,
        'keepalive_timeout': _KEEPALIVE_S,
    },
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HostServers:
    """The servers of one host.

    ``request_runners`` are those that requests to be sent to backend servers
    come in through.
    """

    def __init__(
        self,
        settings: FrontSettings,
        components: HostComponents,
        clock: Clock,
    ) -> None:
        """Prepare the servers; nothing is opened yet."""
        self.runners: dict[Port, web.ServerRunner] = {}
        self._settings = settings
        self._components = components
        self._clock = clock
        self._keeper = AnswerKeeper(
            components.cluster.connections.buffer_limit,
            components.ingress.ledger,
        )

    @property
    def request_runners(self) -> tuple[web.ServerRunner, ...]:
        """Return the runners of the ports for requests, callers' first."""
        return tuple(
            self.runners[port]
            for port in (Port.callers, Port.hosts)
            if port in self.runners
        )

    async def open(self) -> None:
        """Open all ports that callers need, that of requests last.

        Callers go on to other hosts while it isn't open.
        """
        settings = self._settings
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
        await self._listen(settings.ready_address, Port.readiness, ready.handle)
        await self._open_datagrams(f'{internal}/udp')
        await self._listen(internal, Port.hosts, self._serve_host)
        await self._listen(
            settings.directory_address, Port.directory, directory.handle
        )
        front = PipelinedServer(
            components.handler,
            self._keeper,
            **self._get_server_options(Port.callers),
        )
        await self._listen_with(settings.front_address, Port.callers, front)

    async def open_metrics(self) -> None:
        """Open the port of the metrics, which callers don't need."""
        settings = self._settings
        address = f'{settings.ip}:{settings.internal_port + 1}'
        endpoint = MetricsEndpoint(self._components)
        server = AnsweringServer(
            endpoint.handle,
            self._keeper,
            **self._get_server_options(Port.metrics),
        )
        ports = HostPorts(self._clock)
        await self._listen_with(address, Port.metrics, server, ports, inf)

    async def _open_datagrams(self, address: str) -> None:
        settings = self._settings
        loop = self._components.heartbeat_loop
        loop.outbox.endpoint = await self._components.ports.open(
            address,
            partial(
                open_datagram_endpoint,
                settings.ip,
                settings.internal_port,
                MessageReceiver(loop).receive,
            ),
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

    async def _listen(self, address: str, port: Port, handle: Handler) -> None:
        options = self._get_server_options(port)
        server = AnsweringServer(handle, self._keeper, **options)
        await self._listen_with(address, port, server)

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
        self,
        address: str,
        port: Port,
        server: web.Server,
        ports: HostPorts | None = None,
        wait_s: float = MAX_WAIT_S,
    ) -> None:
        """Serve at a port once it can be opened.

        :param ports: opens it; those that readiness depends on if None.
        :param wait_s: time after which it is given up, in seconds.
        """
        runner = web.ServerRunner(server)
        await runner.setup()
        ports = ports or self._components.ports
        serve = partial(self._serve_at, address, runner)
        await ports.open(address, serve, wait_s)
        self.runners[port] = runner

    async def _serve_at(self, address: str, runner: web.ServerRunner) -> None:
        host, _separator, port = address.rpartition(':')
        listener = bind_listener(host, int(port))
        most = int(self._settings.max_descriptors * _BACKLOG_FRACTION)
        backlog = min(_MAX_BACKLOG_COUNT, most)
        try:
            await web.SockSite(runner, listener, backlog=backlog).start()
        except OSError:
            listener.close()
            raise
