"""Room at the backend servers of each pool, and the wait for it."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import count

from result import Err, Ok, Result

from crocusshunt.core import Clock
from crocusshunt.delivery import (
    NotRun,
    QueuedRequest,
    QueueSettings,
    RequestQueue,
)
from crocusshunt.gateway._picking import RoomRequest, ServerPicker
from crocusshunt.routing import Priority, Server

_STATUS_UNAVAILABLE = 503
_LEAST_RETRY_S = 1.0
_PUMP_S = 0.05
_SMOOTHING = 0.1

Grant = Result[Server, NotRun]


@dataclass(slots=True)
class _Line:
    queue: RequestQueue
    granted: dict[int, asyncio.Future[Grant]] = field(default_factory=dict)
    turn_s: float = 0
    taken_at: float = 0
    is_scheduled: bool = False


class Rooms:
    """Grants room, at once or in turn."""

    def __init__(
        self,
        picker: ServerPicker,
        clock: Clock,
        settings: QueueSettings,
    ) -> None:
        """Start with nobody waiting."""
        self._picker = picker
        self._clock = clock
        self._numbers = count(1)
        self._lines: defaultdict[str, _Line] = defaultdict(
            lambda: _Line(RequestQueue(settings)),
        )

    def count_waiting(self) -> int:
        """Return how many requests wait in all pools."""
        return sum(len(line.queue) for line in self._lines.values())

    def create_number(self) -> int:
        """Return the number of a request that arrives now."""
        return next(self._numbers)

    async def acquire(self, request: RoomRequest) -> Grant:
        """Return a server with room, in turn, or why there is none."""
        line = self._lines[request.pool]
        if not line.queue:
            server = self._picker.acquire(request)
            if server is not None:
                return Ok(server)
        return await self._wait(line, request)

    def acquire_now(self, request: RoomRequest) -> Server | None:
        """Return a server with room, if there is one at once."""
        return self._picker.acquire(request)

    def release(self, server: Server) -> None:
        """Give back room, and grant it to the next in turn."""
        self._picker.release(server)
        if server.pool in self._lines:
            self._pump(server.pool)

    async def _wait(self, line: _Line, request: RoomRequest) -> Grant:
        waiting = QueuedRequest(
            request.number,
            request.customer,
            request.priority,
            request.arrived_at,
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
        waiting: QueuedRequest,
        line: _Line,
    ) -> Grant:
        remaining = max(0, waiting.deadline - self._clock.monotonic())
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
            request = RoomRequest(0, 0, pool, '', Priority.normal, 0)
            server = self._picker.acquire(request)
            if server is None:
                return
            self._grant(line, server)

    def _grant(self, line: _Line, server: Server) -> None:
        now = self._clock.monotonic()
        waiting = line.queue.take(now)
        future = line.granted.get(waiting.number) if waiting else None
        if future is None or future.done():
            self._picker.release(server)
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
