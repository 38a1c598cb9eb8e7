"""Background tasks that a service owns."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from crocusshunt.logs import log_event


class TaskGroup:
    """Tasks that run until the service stops; a failure is logged."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            error = repr(task.exception())
            log_event('background task failed', logging.ERROR, error=error)
