"""Tests of cancellation and timeout of an operation that suppresses them.

pynng operations that complete while they are being cancelled return normally;
the task must be cancelled all the same.
"""

import asyncio

import pytest

from crocusshunt.messages._cancellation import await_cancellable


async def _suppress_cancellation() -> str:
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        return 'completed while it was being cancelled'
    return ''


async def test_suppressed_cancellation_is_raised() -> None:
    task = asyncio.create_task(await_cancellable(_suppress_cancellation()))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_suppressed_timeout_is_raised() -> None:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0):
            await await_cancellable(_suppress_cancellation())
