"""Requests in flight, and the end of taking new ones."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Any

from crocusshunt.logs import log_event

_POLL_S = 0.05

DrainHook = Callable[[], Awaitable[None]]


class DrainPhase(str, Enum):
    """How far a stop has come."""

    serving = 'serving'
    leaving = 'leaving'
    closed = 'closed'


@dataclass(frozen=True, slots=True)
class DrainReport:
    """What a stop did.

    :param finished: requests that ended during the stop.
    :param cut: identifiers of the requests still running at its bound.
    """

    finished: int
    cut: tuple[str, ...]


class InFlight:
    """Requests that are running, by identifier."""

    def __init__(self) -> None:
        """Start with none, serving."""
        self.phase = DrainPhase.serving
        self._tasks: dict[str, asyncio.Task[Any] | None] = {}

    def __len__(self) -> int:
        """Return how many requests run."""
        return len(self._tasks)

    @property
    def is_leaving(self) -> bool:
        """Tell whether connections close after their answer."""
        return self.phase is not DrainPhase.serving

    @contextmanager
    def track(self, request_id: str) -> Iterator[None]:
        """Count a request while it runs."""
        self._tasks[request_id] = asyncio.current_task()
        try:
            yield
        finally:
            self._tasks.pop(request_id)

    async def finish(self, bound_s: float) -> DrainReport:
        """Wait for the end of all requests, up to a bound, then cut them.

        :param bound_s: longest wait, in seconds.
        """
        self.phase = DrainPhase.closed
        before = len(self._tasks)
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + bound_s
        while self._tasks and loop.time() < give_up_at:
            await asyncio.sleep(_POLL_S)
        report = DrainReport(before - len(self._tasks), tuple(self._tasks))
        for task in self._tasks.values():
            if task is not None:
                task.cancel()
        log_event(
            'requests finished for the stop',
            logging.WARNING if report.cut else logging.INFO,
            finished=report.finished,
            cut=report.cut,
        )
        return report
