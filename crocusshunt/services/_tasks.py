"""Background tasks of a service."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from crocusshunt.logs import log_event

_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 1
_PAUSE_GROWTH = 2
# Work that failed counts as unsteady until it has run for so long again. It is
# longer than all pauses, so work that fails again and again stays unsteady.
_STEADY_AFTER_S = 3

Work = Coroutine[Any, Any, Any]


class TaskGroup:
    """Tasks that run until they end or the group is stopped.

    An exception that ends a task is logged; the other tasks go on.
    ``failures`` counts such ends by the name of the task, which is empty for
    tasks that are not kept, and ``errors`` holds the last error of each.
    """

    def __init__(self) -> None:
        """Create an empty group."""
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failed_at: dict[str, float] = {}
        self.failures: Counter[str] = Counter()
        self.errors: dict[str, str] = {}

    @property
    def unsteady(self) -> tuple[str, ...]:
        """Return the names of kept tasks that failed and may fail again."""
        if not self._failed_at:
            return ()
        oldest = asyncio.get_running_loop().time() - _STEADY_AFTER_S
        return tuple(
            sorted(name for name, at in self._failed_at.items() if at > oldest)
        )

    def start(self, work: Work) -> None:
        """Run a coroutine as a background task.

        :param work: the coroutine.
        """
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def keep(self, name: str, create_work: Callable[[], Work]) -> None:
        """Run work in the background, and begin it again after an error.

        A service depends on such work, so it shows in ``unsteady`` for some
        seconds after each error.

        :param name: for the log.
        :param create_work: returns the work; called again after each error.
        """
        self.start(self._repeat_failed(name, create_work))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat_failed(
        self, name: str, create_work: Callable[[], Work]
    ) -> None:
        pause_s: float = _MIN_PAUSE_S
        while True:
            try:
                await create_work()
            except Exception as error:
                self._note_failure(repr(error), name)
            else:
                return
            pause_s = self._choose_pause(name, pause_s)
            self._failed_at[name] = asyncio.get_running_loop().time()
            await asyncio.sleep(pause_s)

    def _choose_pause(self, name: str, last_pause_s: float) -> float:
        """Return the pause after an error, longer if one came shortly before.

        :param last_pause_s: pause after the error before, in seconds.
        """
        if name in self.unsteady:
            return min(_MAX_PAUSE_S, last_pause_s * _PAUSE_GROWTH)
        return _MIN_PAUSE_S

    def _note_failure(self, error: str, name: str = '') -> None:
        self.failures[name] += 1
        self.errors[name] = error
        log_event(
            'background task failed', logging.ERROR, task=name, error=error
        )

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self._note_failure(repr(task.exception()))
