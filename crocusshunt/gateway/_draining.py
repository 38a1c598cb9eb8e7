"""Requests in flight, and the phases of a graceful stop."""

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
    """Phases of a graceful stop.

    While ``leaving``, the host is being removed from the locators' answers
    and still accepts requests; once ``closed``, it refuses new ones.
    """

    serving = 'serving'
    leaving = 'leaving'
    closed = 'closed'


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Result of waiting for the running requests.

    :param finished: number of requests that ended in time.
    :param cut: identifiers of the requests cancelled at the timeout.
    """

    finished: int
    cut: tuple[str, ...]


class InFlight:
    """Running requests by identifier, and the phase of the stop."""

    def __init__(self) -> None:
        """Start without requests, in the phase ``serving``."""
        self.phase = DrainPhase.serving
        self._tasks: dict[str, asyncio.Task[Any] | None] = {}

    def __len__(self) -> int:
        """Return the number of running requests."""
        return len(self._tasks)

    @property
    def is_leaving(self) -> bool:
        """Tell whether connections are closed after their response."""
        return self.phase is not DrainPhase.serving

    @contextmanager
    def track(self, request_id: str) -> Iterator[None]:
        """Count a request as running while the context is open."""
        self._tasks[request_id] = asyncio.current_task()
        try:
            yield
        finally:
            self._tasks.pop(request_id)

    async def finish(self, timeout_s: float) -> DrainReport:
        """Refuse new requests, wait for running ones, cancel what is left.

        :param timeout_s: longest wait, in seconds.
        """
        self.phase = DrainPhase.closed
        running_before = len(self._tasks)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self._tasks and loop.time() < deadline:
            await asyncio.sleep(_POLL_S)
        report = DrainReport(
            running_before - len(self._tasks), tuple(self._tasks)
        )
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
