"""Deadlines of an event loop that is blocked at times."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

# A timer that fires so late was held up by other work of the process.
_LATE_S = 0.005
# Time in which the loop reads what came while it was blocked.
_MAX_GRACE_S = 0.02

_Outcome = TypeVar('_Outcome')


async def wait_in_time(
    work: Awaitable[_Outcome],
    timeout_s: float,
) -> _Outcome:
    """Return the outcome of work that ends in time, and cancel it otherwise.

    If the event loop was blocked when the time was over, an answer may be
    there that it has not read. It reads once more before it gives up.

    :param timeout_s: in seconds.
    :raises TimeoutError: the work did not end in time.

    >>> async def answer() -> int:
    ...     return 7
    >>> asyncio.run(wait_in_time(answer(), timeout_s=1))
    7
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + timeout_s
    task = asyncio.ensure_future(work)
    try:
        await _wait(task, due_at)
    except asyncio.CancelledError:
        task.cancel()
        raise
    if task.cancelled():
        raise TimeoutError
    return task.result()


async def _wait(task: asyncio.Future[_Outcome], due_at: float) -> None:
    """Wait until a task has ended, and cancel it when its time is over."""
    loop = asyncio.get_running_loop()
    await asyncio.wait((task,), timeout=due_at - loop.time())
    late_s = loop.time() - due_at
    if late_s > _LATE_S and not task.done():
        grace_s = min(late_s, _MAX_GRACE_S)
        await asyncio.wait((task,), timeout=grace_s)
    task.cancel()
    await asyncio.wait((task,))
