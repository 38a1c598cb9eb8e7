"""Changes after an outage that swallowed the calls of all feeds."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from unittest.mock import Mock

from result import Result

from crocusshunt.core import SystemClock
from crocusshunt.feeds import CallProgress, Changes, FeedError
from crocusshunt.front._followers import Followers
from crocusshunt.front._settings import TableNames
from crocusshunt.front.tests._region import Region
from crocusshunt.services import TaskGroup
from crocusshunt.standin import MemoryFeedStore

_NAMES = ('a1', 'a2', 'a3')
_TABLES = TableNames('op', 'servers', 'hosts', 'crashes')
# A change is followed this long after it was made.
_FOLLOWED_S = 2.5
_CHECK_S = 0.02


@dataclass(slots=True)
class _CountingStore(MemoryFeedStore):
    """A store that counts the calls of feeds."""

    calls: int = 0

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        answer_s: float = 1,
        progress: CallProgress | None = None,
    ) -> Result[Changes, FeedError]:
        self.calls += 1
        # Without an explicit class, super() fails in a class with slots.
        return await MemoryFeedStore.read_changes(
            self, table, after, wait_s, answer_s
        )


@dataclass(slots=True)
class _Hosts:
    """Hosts of a region that follow one store."""

    names: tuple[str, ...]
    store: _CountingStore = field(default_factory=_CountingStore)
    tasks: TaskGroup = field(default_factory=TaskGroup)
    followers: list[Followers] = field(default_factory=list)

    def start(self) -> None:
        """Start all hosts."""
        region = Region(
            self.names, SystemClock(), self.tasks, self._create_followers
        )
        for name in self.names:
            self.tasks.start(region.start(name).run())

    async def is_followed_in_time(self, table: str) -> bool:
        """Change a row and tell whether all hosts know it in time."""
        self.store.put(table, 'row', b'')
        changed = self.store.version
        try:
            async with asyncio.timeout(_FOLLOWED_S):
                while not self._know(table, changed):
                    await asyncio.sleep(_CHECK_S)
        except TimeoutError:
            return False
        return True

    def _create_followers(self, cluster: Mock) -> Followers:
        followers = Followers(self.store, _TABLES, cluster, SystemClock())
        followers.start(self.tasks)
        self.followers.append(followers)
        return followers

    def _know(self, table: str, version: int) -> bool:
        images = [
            follower.image
            for followers in self.followers
            for follower in followers.all
            if follower.settings.table == table
        ]
        return all(image.changed_at >= version for image in images)


@asynccontextmanager
async def _run_hosts(names: tuple[str, ...] = _NAMES) -> AsyncIterator[_Hosts]:
    hosts = _Hosts(names=names)
    hosts.start()
    try:
        yield hosts
    finally:
        await hosts.tasks.stop()
        for followers in hosts.followers:
            await followers.close()


async def _swallow_calls(store: MemoryFeedStore, seconds: float) -> None:
    """Let the store answer no call that arrives for some time."""
    store.faults.is_silent = True
    await asyncio.sleep(seconds)
    store.faults.is_silent = False


async def test_configuration_is_followed_after_swallowed_calls() -> None:
    """All hosts waited ten seconds for the answer to a lost call."""
    async with _run_hosts() as hosts:
        assert await hosts.is_followed_in_time(_TABLES.configuration)
        await _swallow_calls(hosts.store, seconds=1)
        await asyncio.sleep(0.5)
        assert await hosts.is_followed_in_time(_TABLES.configuration)


async def test_servers_are_followed_after_swallowed_calls() -> None:
    async with _run_hosts() as hosts:
        assert await hosts.is_followed_in_time(_TABLES.servers)
        await _swallow_calls(hosts.store, seconds=2)
        await asyncio.sleep(0.5)
        assert await hosts.is_followed_in_time(_TABLES.servers)


async def test_calls_in_quiet_times_do_not_grow_with_the_hosts() -> None:
    """One host of a region watches the store for all of them."""
    calls = []
    for count in (2, 8):
        names = tuple(f'a{number}' for number in range(count))
        async with _run_hosts(names) as hosts:
            await asyncio.sleep(1.5)
            before = hosts.store.calls
            await asyncio.sleep(3)
            calls.append(hosts.store.calls - before)
    assert calls[1] <= calls[0] + 2


async def test_changes_in_quick_succession_are_read_together() -> None:
    """A call for each change of a server would grow with the servers."""
    async with _run_hosts(_NAMES[:1]) as hosts:
        await asyncio.sleep(1)
        before = hosts.store.calls
        for number in range(60):
            hosts.store.put(_TABLES.servers, f's{number}', b'')
            await asyncio.sleep(0.05)
        # The pause between two calls is longer than a second.
        assert hosts.store.calls - before <= 10
