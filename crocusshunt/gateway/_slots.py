"""Free slots at the backend servers of each pool, and queues for them."""

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
from crocusshunt.gateway._picking import ServerPicker, SlotRequest
from crocusshunt.routing import Priority, Server

_STATUS_UNAVAILABLE = 503
_MIN_RETRY_S = 1.0
_RETRY_PERIOD_S = 0.05
# Weight of the newest interval in the mean interval between grants.
_SMOOTHING = 0.1

Grant = Result[Server, NotRun]


@dataclass(slots=True)
class _PoolQueue:
    queue: RequestQueue
    pending_grants: dict[int, asyncio.Future[Grant]] = field(
        default_factory=dict
    )
    grant_interval_s: float = 0
    last_grant_at: float = 0
    is_retry_scheduled: bool = False


class SlotAllocator:
    """Assigns free slots at backend servers to requests.

    If no server has a free slot, requests wait in one queue per pool. The
    mean interval between grants, an exponential moving average, is the
    estimate by which requests that would wait too long are refused.
    """

    def __init__(
        self,
        picker: ServerPicker,
        clock: Clock,
        settings: QueueSettings,
    ) -> None:
        """Start with empty queues."""
        self._picker = picker
        self._clock = clock
        self._numbers = count(1)
        self._pool_queues: defaultdict[str, _PoolQueue] = defaultdict(
            lambda: _PoolQueue(RequestQueue(settings)),
        )

    def count_waiting(self) -> int:
        """Return the number of requests that wait, over all pools."""
        return sum(
            len(pool_queue.queue) for pool_queue in self._pool_queues.values()
        )

    def create_number(self) -> int:
        """Return the arrival number of a new request; numbers ascend."""
        return next(self._numbers)

    async def acquire(self, request: SlotRequest) -> Grant:
        """Occupy a slot and return its server, after a wait if needed.

        The wait is in the queue of the pool; if no slot becomes free in
        time, or the queue is full, a refusal is returned.
        """
        pool_queue = self._pool_queues[request.pool]
        if not pool_queue.queue:
            server = self._picker.acquire(request)
            if server is not None:
                return Ok(server)
        return await self._wait(pool_queue, request)

    def try_acquire(self, request: SlotRequest) -> Server | None:
        """Occupy a slot and return its server, None if none is free now."""
        return self._picker.acquire(request)

    def release(self, server: Server) -> None:
        """Release a slot and grant free slots to waiting requests."""
        self._picker.release(server)
        if server.pool in self._pool_queues:
            self._grant_free_slots(server.pool)

    async def _wait(
        self, pool_queue: _PoolQueue, request: SlotRequest
    ) -> Grant:
        waiting = QueuedRequest(
            request.number,
            request.customer,
            request.priority,
            request.arrived_at,
            request.deadline,
        )
        offered = pool_queue.queue.offer(waiting, pool_queue.grant_interval_s)
        if isinstance(offered, Err):
            error = offered.err_value
            return Err(
                _refuse(
                    error.code,
                    pool_queue.grant_interval_s * len(pool_queue.queue),
                )
            )
        if offered.ok_value is not None:
            displaced = pool_queue.pending_grants[offered.ok_value.number]
            displaced.set_result(Err(_refuse('queue-displaced', _MIN_RETRY_S)))
        future: asyncio.Future[Grant] = asyncio.Future()
        pool_queue.pending_grants[waiting.number] = future
        self._schedule_retry(request.pool)
        try:
            return await self._await_grant(future, waiting, pool_queue)
        finally:
            pool_queue.pending_grants.pop(waiting.number)

    async def _await_grant(
        self,
        future: asyncio.Future[Grant],
        waiting: QueuedRequest,
        pool_queue: _PoolQueue,
    ) -> Grant:
        remaining = max(0, waiting.deadline - self._clock.monotonic())
        try:
            await asyncio.wait((future,), timeout=remaining)
        except asyncio.CancelledError:
            if not pool_queue.queue.remove(waiting) and future.done():
                self._return_slot(future.result())
            raise
        if future.done():
            return future.result()
        pool_queue.queue.remove(waiting)
        return Err(_refuse('deadline-unreachable', _MIN_RETRY_S))

    def _return_slot(self, grant: Grant) -> None:
        if isinstance(grant, Ok):
            self.release(grant.ok_value)

    def _schedule_retry(self, pool: str) -> None:
        # Slots also become free without a release: by a new configuration,
        # at the end of an ejection, or while the share of a server that
        # was ejected grows again.
        pool_queue = self._pool_queues[pool]
        if not pool_queue.is_retry_scheduled:
            pool_queue.is_retry_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(_RETRY_PERIOD_S, self._retry, pool)

    def _retry(self, pool: str) -> None:
        self._pool_queues[pool].is_retry_scheduled = False
        self._grant_free_slots(pool)
        if self._pool_queues[pool].queue:
            self._schedule_retry(pool)

    def _grant_free_slots(self, pool: str) -> None:
        pool_queue = self._pool_queues[pool]
        while pool_queue.queue:
            request = SlotRequest(0, 0, pool, '', Priority.normal, 0)
            server = self._picker.acquire(request)
            if server is None:
                return
            self._grant_next(pool_queue, server)

    def _grant_next(self, pool_queue: _PoolQueue, server: Server) -> None:
        now = self._clock.monotonic()
        waiting = pool_queue.queue.take(now)
        future = (
            pool_queue.pending_grants.get(waiting.number) if waiting else None
        )
        if future is None or future.done():
            self._picker.release(server)
            return
        future.set_result(Ok(server))
        # An idle time before this grant counts as 1 s at most.
        gap = min(now - pool_queue.last_grant_at, _MIN_RETRY_S)
        pool_queue.grant_interval_s += (
            gap - pool_queue.grant_interval_s
        ) * _SMOOTHING
        pool_queue.last_grant_at = now


def _refuse(code: str, retry_after_s: float) -> NotRun:
    return NotRun(
        code,
        _STATUS_UNAVAILABLE,
        'no backend server of the pool had room in time',
        max(_MIN_RETRY_S, retry_after_s),
    )
