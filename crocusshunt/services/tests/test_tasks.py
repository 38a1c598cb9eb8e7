"""Background tasks that end with an error."""

import asyncio

from crocusshunt.services import TaskGroup


async def _wait_until_steady(tasks: TaskGroup) -> None:
    async with asyncio.timeout(10):
        while tasks.unsteady:
            await asyncio.sleep(0.05)


async def test_kept_work_is_begun_again_after_an_error() -> None:
    """A task that an error ended was never started again."""
    tasks = TaskGroup()
    begun: list[int] = []
    is_working = asyncio.Event()

    async def work() -> None:
        begun.append(len(begun))
        if len(begun) < 3:
            raise RecursionError
        is_working.set()
        await asyncio.sleep(60)

    tasks.keep('work', work)
    async with asyncio.timeout(5):
        await is_working.wait()
    assert tasks.unsteady == ('work',)
    assert tasks.failures == {'work': 2}
    await _wait_until_steady(tasks)
    assert len(begun) == 3
    await tasks.stop()


async def test_work_that_fails_again_and_again_stays_unsteady() -> None:
    """Between two failures, nothing may look sound."""
    tasks = TaskGroup()

    async def fail() -> None:
        raise ValueError

    tasks.keep('work', fail)
    await asyncio.sleep(0.05)
    until = asyncio.get_running_loop().time() + 5
    while asyncio.get_running_loop().time() < until:
        assert tasks.unsteady == ('work',)
        await asyncio.sleep(0.1)
    assert 4 <= tasks.failures['work'] < 12
    await tasks.stop()


async def test_kept_work_that_returns_has_ended() -> None:
    tasks = TaskGroup()
    begun: list[int] = []

    async def work() -> None:
        begun.append(1)

    tasks.keep('work', work)
    await asyncio.sleep(0.3)
    assert begun == [1]
    assert not tasks.unsteady
