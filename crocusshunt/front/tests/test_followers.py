"""News that a host takes from its peers while its own feed fails."""

from dataclasses import dataclass, field
from unittest.mock import AsyncMock, Mock

from crocusshunt.core import ManualClock
from crocusshunt.fleet import HostRecord
from crocusshunt.front._followers import Followers
from crocusshunt.front._settings import TableNames
from crocusshunt.standin import MemoryFeedStore

_PEER = HostRecord('h2', '10.0.0.2', 7600, '10.0.0.2:80', 'a1', 'a')
# Of the three tables; the others are as unknown there as here.
_NEWER = (-1, 9, -1)
_HEARTBEAT_S = 0.5


@dataclass(slots=True)
class _Scene:
    """A host that hears a peer which knows newer servers."""

    clock: ManualClock = field(default_factory=ManualClock)
    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    fetch: AsyncMock = field(default_factory=AsyncMock)

    async def listen(self, *, is_cut: bool, seconds: float) -> int:
        """Hear the peer for a time; return how often its image was asked."""
        tables = TableNames('op', 'servers', 'hosts')
        followers = Followers(self.store, tables, Mock(), self.clock)
        await followers.servers.poll()
        if is_cut:
            self.store.faults.is_down = True
            await followers.servers.poll()
        followers._fetch = self.fetch  # type: ignore[method-assign]
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() <= until:
            await followers.compare(_PEER, _NEWER)
            self.clock.advance(_HEARTBEAT_S)
        return int(self.fetch.await_count)


async def test_host_that_is_cut_from_the_store_asks_a_peer_soon() -> None:
    """Else it sends to servers that left, long after the cut ended."""
    assert await _Scene().listen(is_cut=True, seconds=0.5) == 1


async def test_host_whose_feed_pauses_after_news_does_not_ask() -> None:
    assert await _Scene().listen(is_cut=False, seconds=1) == 0


async def test_host_whose_feed_is_silent_asks_in_the_end() -> None:
    assert await _Scene().listen(is_cut=False, seconds=2) == 1
