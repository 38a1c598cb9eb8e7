"""Waiting requests are woken by released slots."""

import asyncio
import time

from crocusshunt.front._waiting import SlotWaiters
from crocusshunt.placement import WaitingRank


async def test_released_slot_wakes_the_most_urgent_request_only() -> None:
    waiters = SlotWaiters()
    woken: list[int] = []

    async def wait(urgency: int) -> None:
        await waiters.wait(WaitingRank((urgency,), 1, urgency), ['s1'], 5)
        woken.append(urgency)

    tasks = [asyncio.create_task(wait(urgency)) for urgency in (2, 0, 1)]
    await asyncio.sleep(0)
    for expected in ([0], [0, 1], [0, 1, 2]):
        waiters.offer('s2')
        waiters.offer('s1')
        await asyncio.sleep(0.01)
        assert woken == expected
    await asyncio.gather(*tasks)


async def test_request_looks_again_after_its_pause() -> None:
    waiters = SlotWaiters()
    started_at = time.monotonic()
    await waiters.wait(WaitingRank((0,), 1, 1), ['s1'], 0.02)
    assert time.monotonic() - started_at >= 0.02
    waiters.offer('s1')
