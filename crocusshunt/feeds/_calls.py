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
        self._hold_s: float = 0
        self._clock = clock
        self._task: asyncio.Task[bool] | None = None

    @property
    def quiet_s(self) -> float:
        """Return the time since the call under way brought anything.

        In seconds, from its begin until the answer begins; zero if no call is
        under way, or if its answer is left with the store on purpose.
        """
        if self._task is None or self._task.done() or self.progress.is_held:
            return 0
        return self.progress.quiet_s

    @property
    def is_reading_large(self) -> bool:
        """Tell whether a large answer has begun and not ended yet."""
        is_under_way = self._task is not None and not self._task.done()
        return is_under_way and self.progress.is_large

    @property
    def is_receiving(self) -> bool:
        """Tell whether the answer to the call under way has begun.

        What came of it would be lost if the call were abandoned.
        """
        if self._task is None or self._task.done():
            return False
        return self.progress.has_begun

    async def run(self, call: Coroutine[Any, Any, bool]) -> bool | None:
        """Return the result of a call, None if it was abandoned."""
        self.progress = CallProgress(self._clock, hold_s=self._hold_s)
        task = asyncio.create_task(call)
        self._task = task
        try:
            await asyncio.wait((task,))
        except asyncio.CancelledError:
            task.cancel()
            raise
        return None if task.cancelled() else task.result()

    def hold_answers(self, hold_s: float) -> None:
        """Leave large answers with the store for a while from now on.

        :param hold_s: in seconds, 0 to read them at once.
        """
        self._hold_s = hold_s
        if not self.progress.has_begun:
            self.progress.hold_s = hold_s

    def note_answer(self) -> None:
        """Record that the answer to the call under way came whole."""
        self.answer_bytes = self.progress.received_bytes

    def note_waste(self) -> None:
        """Record that the rest of the answer to the call does not count."""
        self.wasted_bytes += self.progress.received_bytes

    def abandon(self) -> bool:
        """Cancel the call under way; return whether there was one."""
        return self._task is not None and self._task.cancel()
