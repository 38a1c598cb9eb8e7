"""Cancellation of socket operations."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

_Outcome = TypeVar('_Outcome')


async def await_cancellable(operation: Awaitable[_Outcome]) -> _Outcome:
    """Await an operation that may swallow its own cancellation.

    pynng returns normally from an operation that completes while it is
    being cancelled; the task would then run on as if nobody had asked it to
    stop, past its timeout too.

    :param operation: a send or a receive of a pynng context.
    :raises asyncio.CancelledError: the task was cancelled meanwhile.
    """
    outcome = await operation
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
    return outcome
