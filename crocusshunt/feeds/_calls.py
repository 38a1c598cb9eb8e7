"""Calls that may be abandoned while they wait."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from crocusshunt.core import Clock
from crocusshunt.feeds._progress import CallProgress


class AbandonableCall:
    """Runs one call at a time, which may be abandoned from outside.

    ``progress`` is that of the call under way, ``answer_bytes`` the size of
    the last whole answer and ``wasted_bytes`` what came of all others.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a call."""
        self.progress = CallProgress(clock)
        self.answer_bytes = 0
        self.wasted_bytes = 0
        self._clock = clock
        self._task: asyncio.Task[bool] | None = None
        self._started_at: float = 0

    @property
    def age_s(self) -> float:
        """Return the time since the call under way began, in seconds.

        Zero if no call is under way.
        """
        if self._task is None or self._task.done():
            return 0
        return self._clock.monotonic() - self._started_at

    async def run(self, call: Coroutine[Any, Any, bool]) -> bool | None:
        """Return the result of a call, None if it was abandoned."""
        self._started_at = self._clock.monotonic()
        self.progress = CallProgress(self._clock)
        task = asyncio.create_task(call)
        self._task = task
        try:
            await asyncio.wait((task,))
        except asyncio.CancelledError:
            task.cancel()
            raise
        return None if task.cancelled() else task.result()

    def note_answer(self) -> None:
        """Record that the answer to the call under way came whole."""
        self.answer_bytes = self.progress.received_bytes

    def note_waste(self) -> None:
        """Record that the rest of the answer to the call does not count."""
        self.wasted_bytes += self.progress.received_bytes

    def abandon(self) -> bool:
        """Cancel the call under way; return whether there was one."""
        return self._task is not None and self._task.cancel()
