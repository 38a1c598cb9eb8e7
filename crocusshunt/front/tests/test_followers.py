"""Fetching of tables from peers while the host's own feed fails."""

from dataclasses import dataclass, field
from unittest.mock import AsyncMock, Mock

from crocusshunt.core import ManualClock
from crocusshunt.feeds import Changes
from crocusshunt.fleet import HostRecord
from crocusshunt.front._followers import Followers
from crocusshunt.front._settings import TableNames
from crocusshunt.standin import MemoryFeedStore

_PEER = HostRecord('h2', '10.0.0.2', 7600, '10.0.0.2:80', 'a1', 'a')
# Table versions of the peer; only the table of servers is newer than here.
_NEWER = (-1, 9, -1)
_HEARTBEAT_S = 0.5


@dataclass(slots=True)
class _Scenario:
    """A host and a peer whose table of servers is newer."""

    clock: ManualClock = field(default_factory=ManualClock)
    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    fetch: AsyncMock = field(default_factory=AsyncMock)
    # For how long the call under way has brought nothing.
    quiet_s: float = 0
    is_near: bool = True

    async def receive_heartbeats(
        self, *, is_store_down: bool, seconds: float
    ) -> int:
        """Process heartbeats of the peer; return the number of fetches.

        :param is_store_down: whether the store fails meanwhile.
        :param seconds: how long heartbeats are processed.
        """
        tables = TableNames('op', 'servers', 'hosts', 'crashes')
        followers = Followers(self.store, tables, Mock(), self.clock)
        await followers.servers.poll()
        if is_store_down:
            self.store.faults.is_down = True
            await followers.servers.poll()
        if self.quiet_s:
            call = Mock(quiet_s=self.quiet_s, is_reading_large=False)
            followers.servers.call = call
        followers._fetch_image = self.fetch  # type: ignore[method-assign]
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() <= until:
            await followers.fetch_if_behind(_PEER, _NEWER, is_near=self.is_near)
            self.clock.advance(_HEARTBEAT_S)
        return int(self.fetch.await_count)


async def test_host_without_the_store_fetches_from_a_peer_soon() -> None:
    """Otherwise it would send to removed servers long after the outage."""
    assert (
        await _Scenario().receive_heartbeats(is_store_down=True, seconds=0.5)
        == 1
    )


async def test_host_does_not_fetch_during_the_pause_after_a_change() -> None:
    assert (
        await _Scenario().receive_heartbeats(is_store_down=False, seconds=1)
        == 0
    )


async def test_host_with_a_stalled_feed_fetches_from_a_peer() -> None:
    assert (
        await _Scenario().receive_heartbeats(is_store_down=False, seconds=2)
        == 1
    )


async def test_host_whose_call_withholds_news_fetches_from_a_peer_soon() -> (
    None
):
    """Its calls for servers were late beside large answers on one link.

    A request reached a server 3.1 s after its entry said that it leaves.
    """
    scenario = _Scenario()
    scenario.quiet_s = 0.5
    fetches = await scenario.receive_heartbeats(
        is_store_down=False, seconds=0.5
    )
    assert fetches == 1


async def test_host_of_another_region_is_not_asked_for_a_copy_soon() -> None:
    """Fifty hosts asked one host of another region by the link between them."""
    scenario = _Scenario(is_near=False, quiet_s=0.5)
    fetches = await scenario.receive_heartbeats(is_store_down=False, seconds=1)
    assert fetches == 0


async def test_hosts_of_a_peers_copy_may_not_be_all_hosts() -> None:
    """One that it lacks was not asked to drop the leases of a former start."""
    tables = TableNames('op', 'servers', 'hosts', 'crashes')
    store = MemoryFeedStore()
    for name in ('h1', 'h2'):
        store.put('hosts', name, b'')
    followers = Followers(store, tables, Mock(), ManualClock())
    followers.hosts.apply_peer_image(Changes((), 1))
    assert followers.hosts.image.is_known
    assert not followers.knows_hosts()
    await followers.hosts.poll()
    assert followers.knows_hosts()
