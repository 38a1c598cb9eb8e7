"""Backend servers of a soak test, each behind a proxy."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from aiohttp import web

from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.services import TaskGroup
from crocusshunt.soak._links import ServerLinks
from crocusshunt.soak._proxy import Proxy
from crocusshunt.soak._records import Run
from crocusshunt.soak._server_records import Arrival, ServerNotice
from crocusshunt.standin import LOOPBACK

_HEADERS = SOURCE_FORMAT.headers
_SLOTS = 4
_QUEUE_LENGTH = 4
_MEAN_PROCESSING_S = 0.03
_STATUS_MISDIRECTED = 421
_STATUS_FULL = 503
_DIGEST_REPEATS = 40
# How long a server is down after a crash.
_RESTART_S = 2.5
# How long a server that turns requests away asks to back off.
BACKOFF_S = 2
# Part of the paths of requests that crash the server that runs them.
CRASH_MARK = 'crash-'


def build_response_text(request_id: str) -> str:
    """Return the text of the only right response to a request.

    >>> build_response_text('1') == build_response_text('2')
    False
    """
    digest = blake2b(request_id.encode(), digest_size=8).hexdigest()
    return ' '.join((request_id, digest * _DIGEST_REPEATS))


@dataclass(slots=True)
class SoakServer:
    """One backend server; its name is never used for another one.

    It processes a few requests at once, queues a few more, and refuses others.

    :param runs: records of the runs of all servers.
    :param keys: API keys, which no server may see.
    :param limit: requests a second that it names in its answers, None to name
        no limit.
    :param arrivals: records of the requests that reached any server.
    :param notices: records of what servers told hosts.
    :param rejects_until: monotonic time until which it rejects all requests and
        asks to back off, in seconds.
    :param rejected_share: share of the requests that it rejects as if it had
        no room.
    :param is_draining: whether its responses say that it drains.
    :param announce: writes its entry, with the state that it is to have;
        removes it for an empty state.
    :param links: the ways of the hosts to it.
    :param state: state in its entry, empty once that is removed.
    """

    name: str
    pool: str
    failure_domain: str
    runs: list[Run]
    keys: frozenset[str]
    rng: random.Random
    proxy: Proxy | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    notices: list[ServerNotice] = field(default_factory=list)
    limit: float | None = None
    rejects_until: float = 0
    rejected_share: float = 0
    is_draining: bool = False
    announce: Callable[['SoakServer', str], None] | None = None
    links: ServerLinks = field(default_factory=ServerLinks)
    state: str = ''
    _tasks: TaskGroup = field(default_factory=TaskGroup)
    _starts: int = 1
    _in_progress: int = 0
    _runner: web.ServerRunner | None = None
    _free_slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(_SLOTS),
    )

    @property
    def address(self) -> str:
        """Return the address that hosts connect to, ``ip:port``."""
        return '' if self.proxy is None else self.proxy.address

    async def start(self) -> None:
        """Listen on a free port, and start a proxy to it."""
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, 0).start()
        host, port = self._runner.addresses[0]
        self.proxy = Proxy(f'{host}:{port}')
        await self.proxy.start()

    async def stop(self) -> None:
        """Stop the proxy and the server."""
        await self._tasks.stop()
        if self.proxy is not None:
            self.proxy.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def leave(self) -> None:
        """Remove the server's entry."""
        if self.announce is not None:
            self.announce(self, '')

    def _crash(self) -> None:
        """Close the port and all connections for some time."""
        if self.proxy is not None and self.proxy.is_open:
            self.links.close_server(self.name)
            self.proxy.shut()
            self._tasks.start(self._restart(self.proxy))

    async def _restart(self, proxy: Proxy) -> None:
        await asyncio.sleep(_RESTART_S)
        self._starts += 1
        self.is_draining = False
        self.rejects_until = 0
        await proxy.reopen()
        await self.links.reopen_server(self.name)
        if self.state and self.announce is not None:
            self.announce(self, self.state)

    async def _handle(self, request: Any) -> web.StreamResponse:
        await request.read()
        request_id = request.headers.get(_HEADERS.request_id, '')
        echoed = {_HEADERS.request_id: request_id}
        if request.headers.get(_HEADERS.expected_server) != self.name:
            return web.Response(status=_STATUS_MISDIRECTED, headers=echoed)
        now = time.monotonic()
        arrival = Arrival(self.name, self._starts, request_id, now, self.pool)
        self.arrivals.append(arrival)
        if now < self.rejects_until:
            return self._turn_away(request_id)
        is_full = self._in_progress >= _SLOTS + _QUEUE_LENGTH
        if is_full or self.rng.random() < self.rejected_share:
            refused = {**echoed, _HEADERS.not_run: '1'}
            return web.Response(status=_STATUS_FULL, headers=refused)
        self._in_progress += 1
        try:
            async with self._free_slots:
                return await self._process(request, request_id)
        finally:
            self._in_progress -= 1

    def _turn_away(self, request_id: str) -> web.Response:
        """Reject a request and ask its host to back off."""
        self._record_notice(request_id, time.monotonic() + BACKOFF_S)
        headers = {
            _HEADERS.request_id: request_id,
            _HEADERS.not_run: '1',
            _HEADERS.retry_after: str(BACKOFF_S),
        }
        return web.Response(status=_STATUS_FULL, headers=headers)

    def _record_notice(self, request_id: str, until: float) -> None:
        now = time.monotonic()
        notice = ServerNotice(self.name, self._starts, request_id, now, until)
        self.notices.append(notice)

    async def _process(self, request: Any, request_id: str) -> web.Response:
        header_text = str(request.headers)
        is_crash = CRASH_MARK in request.path
        self.runs.append(
            Run(
                request_id=request_id,
                server=self.name,
                pool=self.pool,
                at=time.monotonic(),
                customer=request.headers.get(_HEADERS.customer, ''),
                exposes_key=any(key in header_text for key in self.keys),
                crash_path=request.path if is_crash else '',
            ),
        )
        await asyncio.sleep(self.rng.expovariate(1 / _MEAN_PROCESSING_S))
        if is_crash:
            self._crash()
        headers = {
            _HEADERS.request_id: request_id,
            _HEADERS.signature: request_id,
            _HEADERS.load: f'{self._in_progress},0,{_SLOTS}',
        }
        if self.is_draining:
            headers[_HEADERS.draining] = '1'
            self._record_notice(request_id, float('inf'))
        if self.limit is not None:
            headers[_HEADERS.rate_limit] = str(self.limit)
        return web.Response(
            text=build_response_text(request_id), headers=headers
        )
