"""Reliable cancellation of socket operations."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

_ResultType = TypeVar('_ResultType')


async def await_cancellable(operation: Awaitable[_ResultType]) -> _ResultType:
    """Await an operation that may suppress a cancellation.

    pynng returns normally from an operation that completes while it is
    being cancelled. Without the check made here, the task would continue
    despite the cancellation, also when a timeout caused it.

    :param operation: a send or a receive of a pynng context.
    :raises asyncio.CancelledError: the task was cancelled while it waited.
    """
    operation_result = await operation
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
    return operation_result
