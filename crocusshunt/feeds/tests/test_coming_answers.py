"""Calls whose answers are coming while something asks for a newer one."""

import asyncio
from dataclasses import dataclass, field

from result import Ok, Result

from crocusshunt.core import SystemClock
from crocusshunt.feeds import (
    CallProgress,
    Changes,
    FeedError,
    Follower,
    FollowerSettings,
)
from crocusshunt.standin import MemoryFeedStore

_ANSWER_BYTES = 600_000
_ANSWER_S = 0.5


@dataclass(slots=True)
class _SlowStore(MemoryFeedStore):
    """Sends each answer in two parts, with a pause between them."""

    begun: asyncio.Event = field(default_factory=asyncio.Event)
    calls: int = 0

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        answer_s: float = 1,
        progress: CallProgress | None = None,
    ) -> Result[Changes, FeedError]:
        assert progress is not None
        self.calls += 1
        await progress.begin(_ANSWER_BYTES)
        progress.note(_ANSWER_BYTES // 2)
        self.begun.set()
        await asyncio.sleep(_ANSWER_S)
        return Ok(Changes((), after))


async def _begin() -> tuple[_SlowStore, Follower, asyncio.Task[None]]:
    """Return a follower to which the first half of an answer has come."""
    store = _SlowStore()
    settings = FollowerSettings('servers', wait_s=10)
    follower = Follower(store, settings, SystemClock(), lambda _row: None)
    await follower.poll()
    following = asyncio.create_task(follower.run())
    await store.begun.wait()
    return store, follower, following


async def test_host_that_begins_to_watch_keeps_the_answer_that_comes() -> None:
    """What had come was thrown away, and the answer was read anew."""
    store, follower, following = await _begin()
    follower.limit_wait(0.8)
    await asyncio.sleep(0.1)
    following.cancel()
    assert (store.calls, follower.call.wasted_bytes) == (1, 0)


async def test_heartbeat_of_an_unknown_host_keeps_the_answer_that_comes() -> (
    None
):
    """It has the table of hosts read again, in which the host is missing."""
    store, follower, following = await _begin()
    follower.refresh()
    await asyncio.sleep(0.1)
    following.cancel()
    assert (store.calls, follower.call.wasted_bytes) == (1, 0)
