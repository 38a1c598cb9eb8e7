"""Room at the backend servers of each pool, and the wait for it."""

import asyncio
import random
from collections.abc import Iterable
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import count

from result import Err, Ok, Result

from crocusshunt.core import Clock
from crocusshunt.delivery import (
    NotRun,
    OutlierDetector,
    QueueSettings,
    ServerLoads,
    Waiting,
    WaitingQueue,
    choose_server,
)
from crocusshunt.gateway._admission import Gatekeeper
from crocusshunt.routing import Priority, Server

_STATUS_UNAVAILABLE = 503
_LEAST_RETRY_S = 1.0
_PUMP_S = 0.05
_SMOOTHING = 0.1

Grant = Result[Server, NotRun]


@dataclass(frozen=True, slots=True)
class RoomRequest:
    """Who asks for room.

    :param deadline: monotonic time by which the request ends.
    :param tried: servers that the request was sent to before.
    """

    pool: str
    customer: str
    priority: Priority
    deadline: float
    tried: tuple[Server, ...] = ()


@dataclass(slots=True)
class _Line:
    queue: WaitingQueue
    granted: dict[int, asyncio.Future[Grant]] = field(default_factory=dict)
    turn_s: float = 0
    taken_at: float = 0
    is_scheduled: bool = False


@dataclass(frozen=True, slots=True)
class ServerState:
    """What this gateway saw of the servers."""

    loads: ServerLoads
    outliers: OutlierDetector


class Rooms:
    """Grants room, at once or in turn."""

    def __init__(
        self,
        gatekeeper: Gatekeeper,
        state: ServerState,
        clock: Clock,
        source: random.Random,
        settings: QueueSettings,
    ) -> None:
        """Start with nobody waiting."""
        self._gatekeeper = gatekeeper
        self._state = state
        self._clock = clock
        self._source = source
        self._numbers = count(1)
        self._lines: defaultdict[str, _Line] = defaultdict(
            lambda: _Line(WaitingQueue(settings)),
        )

    def count_waiting(self) -> int:
        """Return how many requests wait in all pools."""
        return sum(len(line.queue) for line in self._lines.values())

    async def acquire(self, request: RoomRequest) -> Grant:
        """Return a server with room, in turn, or why there is none."""
        line = self._lines[request.pool]
        if not line.queue:
            server = self.acquire_now(request)
            if server is not None:
                return Ok(server)
        return await self._wait(line, request)

    def acquire_now(self, request: RoomRequest) -> Server | None:
        """Return a server with room, if there is one at once.

        Servers tried before are left out; other failure domains than
        theirs come first.
        """
        servers = self._gatekeeper.servers.get(request.pool, ())
        now = self._clock.monotonic()
        is_open = self._state.outliers.select_open(servers, now)
        if not request.tried:
            return self._choose(is_open, now)
        names = {server.name for server in request.tried}
        domains = {server.failure_domain for server in request.tried}
        untried = [one for one in is_open if one.name not in names]
        apart = [one for one in untried if one.failure_domain not in domains]
        return self._choose(apart, now) or self._choose(untried, now)

    def release(self, server: Server) -> None:
        """Give back room, and grant it to the next in turn."""
        self._state.loads.release(server)
        if server.pool in self._lines:
            self._pump(server.pool)

    def _choose(self, servers: Iterable[Server], now: float) -> Server | None:
        state = self._state
        server = choose_server(
            servers,
            state.loads,
            self._source,
            lambda one: state.outliers.scale(one, now),
        )
        if server is not None:
            state.loads.acquire(server)
        return server

    async def _wait(self, line: _Line, request: RoomRequest) -> Grant:
        now = self._clock.monotonic()
        waiting = Waiting(
            next(self._numbers),
            request.customer,
            request.priority,
            now,
            request.deadline,
        )
        offered = line.queue.offer(waiting, line.turn_s)
        if isinstance(offered, Err):
            error = offered.err_value
            return Err(_refuse(error.code, line.turn_s * len(line.queue)))
        if offered.ok_value is not None:
            displaced = line.granted[offered.ok_value.number]
            displaced.set_result(
                Err(_refuse('queue-displaced', _LEAST_RETRY_S))
            )
        future: asyncio.Future[Grant] = asyncio.Future()
        line.granted[waiting.number] = future
        self._schedule(request.pool)
        try:
            return await self._await_grant(future, waiting, line)
        finally:
            line.granted.pop(waiting.number)

    async def _await_grant(
        self,
        future: asyncio.Future[Grant],
        waiting: Waiting,
        line: _Line,
    ) -> Grant:
        remaining = waiting.deadline - waiting.arrived_at
        try:
            await asyncio.wait((future,), timeout=remaining)
        except asyncio.CancelledError:
            if not line.queue.remove(waiting) and future.done():
                self._give_back(future.result())
            raise
        if future.done():
            return future.result()
        line.queue.remove(waiting)
        return Err(_refuse('deadline-unreachable', _LEAST_RETRY_S))

    def _give_back(self, grant: Grant) -> None:
        if isinstance(grant, Ok):
            self.release(grant.ok_value)

    def _schedule(self, pool: str) -> None:
        # Room also appears without a release: a new configuration, the end
        # of an ejection, a growing share.
        line = self._lines[pool]
        if not line.is_scheduled:
            line.is_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(_PUMP_S, self._pump_again, pool)

    def _pump_again(self, pool: str) -> None:
        self._lines[pool].is_scheduled = False
        self._pump(pool)
        if self._lines[pool].queue:
            self._schedule(pool)

    def _pump(self, pool: str) -> None:
        line = self._lines[pool]
        while line.queue:
            request = RoomRequest(pool, '', Priority.normal, 0)
            server = self.acquire_now(request)
            if server is None:
                return
            self._grant(line, server)

    def _grant(self, line: _Line, server: Server) -> None:
        now = self._clock.monotonic()
        waiting = line.queue.take(now)
        future = line.granted.get(waiting.number) if waiting else None
        if future is None or future.done():
            self._state.loads.release(server)
            return
        future.set_result(Ok(server))
        gap = min(now - line.taken_at, _LEAST_RETRY_S)
        line.turn_s += (gap - line.turn_s) * _SMOOTHING
        line.taken_at = now


def _refuse(code: str, retry_after_s: float) -> NotRun:
    return NotRun(
        code,
        _STATUS_UNAVAILABLE,
        'no backend server of the pool had room in time',
        max(_LEAST_RETRY_S, retry_after_s),
    )
