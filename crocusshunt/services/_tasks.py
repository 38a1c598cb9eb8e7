"""Background tasks of a service."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from crocusshunt.logs import log_event


class TaskGroup:
    """Tasks that run until they end or the group is stopped.

    An exception that ends a task is logged; the other tasks go on.
    """

    def __init__(self) -> None:
        """Create an empty group."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a background task.

        :param work: the coroutine.
        """
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            error = repr(task.exception())
            log_event('background task failed', logging.ERROR, error=error)
