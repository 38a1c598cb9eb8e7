"""Cancellation that an operation swallows."""

import asyncio

import pytest

from crocusshunt.messages._cancellation import await_cancellable


async def _swallow_cancellation() -> str:
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        return 'completed while it was being cancelled'
    return ''


async def test_swallowed_cancellation_is_raised_again() -> None:
    task = asyncio.create_task(await_cancellable(_swallow_cancellation()))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_swallowed_timeout_is_raised_again() -> None:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0):
            await await_cancellable(_swallow_cancellation())
