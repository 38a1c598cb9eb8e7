"""Changes after an outage that swallowed the calls of all feeds."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from unittest.mock import Mock

from crocusshunt.core import SystemClock
from crocusshunt.front._followers import Followers
from crocusshunt.front._settings import TableNames
from crocusshunt.front.tests._region import Region
from crocusshunt.services import TaskGroup
from crocusshunt.standin import MemoryFeedStore

_NAMES = ('h1', 'h2', 'h3')
_TABLES = TableNames('op', 'servers', 'hosts')
# A change is followed this long after it was made.
_FOLLOWED_S = 2.5
_CHECK_S = 0.02


@dataclass(slots=True)
class _Hosts:
    """Hosts of a region that follow one store."""

    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    tasks: TaskGroup = field(default_factory=TaskGroup)
    followers: list[Followers] = field(default_factory=list)

    def start(self) -> None:
        """Start all hosts."""
        region = Region(
            _NAMES, SystemClock(), self.tasks, self._create_followers
        )
        for name in _NAMES:
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
async def _run_hosts() -> AsyncIterator[_Hosts]:
    hosts = _Hosts()
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
