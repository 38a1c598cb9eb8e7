"""Following a table through outages, lost history and peers."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Result

from crocusshunt.core import ManualClock, SystemClock
from crocusshunt.feeds import (
    CallProgress,
    Changes,
    FeedError,
    Follower,
    FollowerSettings,
    HistoryLostError,
    Row,
    TableImage,
)
from crocusshunt.standin import MemoryFeedStore

_TABLE = 'servers'
_SETTLE_S = 2


@dataclass(slots=True)
class _FollowerSetup:
    """A store, a clock and the rows that a follower passed to its sink."""

    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    clock: ManualClock = field(default_factory=ManualClock)
    received_rows: list[tuple[str, bool]] = field(default_factory=list)

    def create_follower(self) -> Follower:
        """Return a follower whose calls do not wait for changes."""
        settings = FollowerSettings(
            _TABLE, wait_s=0, settle_s=_SETTLE_S, outage_s=1
        )
        return Follower(self.store, settings, self.clock, self.record_row)

    def record_row(self, row: Row) -> None:
        """Record a row that a follower passes on, as its sink."""
        self.received_rows.append((row.key, row.is_removed))

    async def simulate_outage(self, follower: Follower, seconds: float) -> None:
        """Let the store fail for a time, and the follower notice it."""
        self.store.faults.is_down = True
        assert not await follower.poll()
        self.clock.advance(seconds)
        assert not await follower.poll()
        self.store.faults.is_down = False


async def test_rows_and_changes_reach_the_sink_in_order() -> None:
    setup = _FollowerSetup()
    follower = setup.create_follower()
    setup.store.put(_TABLE, 'a', b'')
    await follower.poll()
    setup.store.put(_TABLE, 'b', b'')
    await follower.poll()
    setup.store.remove(_TABLE, 'a')
    await follower.poll()
    assert setup.received_rows == [('a', False), ('b', False), ('a', True)]


async def test_table_is_read_again_after_lost_history() -> None:
    setup = _FollowerSetup()
    follower = setup.create_follower()
    setup.store.put(_TABLE, 'a', b'')
    await follower.poll()
    setup.store.remove(_TABLE, 'a')
    setup.store.put(_TABLE, 'b', b'')
    setup.store.forget_history()
    await follower.poll()
    assert sorted(setup.received_rows[1:]) == [('a', True), ('b', False)]


async def test_removals_are_deferred_after_an_outage() -> None:
    setup = _FollowerSetup()
    follower = setup.create_follower()
    for name in ('back', 'gone'):
        setup.store.put(_TABLE, name, b'')
    await follower.poll()
    await setup.simulate_outage(follower, seconds=3)
    setup.store.remove(_TABLE, 'back')
    setup.store.remove(_TABLE, 'gone')
    await follower.poll()
    setup.clock.advance(_SETTLE_S / 2)
    await follower.poll()
    assert ('gone', True) not in setup.received_rows
    setup.store.put(_TABLE, 'back', b'')
    await follower.poll()
    setup.clock.advance(_SETTLE_S)
    await follower.poll()
    assert ('gone', True) in setup.received_rows
    assert ('back', True) not in setup.received_rows


async def test_removal_is_passed_on_if_only_this_hosts_calls_failed() -> None:
    """A request reached a server 3.4 s after its entry was removed.

    The calls were late on a full link, while the store answered a peer.
    """
    setup = _FollowerSetup()
    follower = setup.create_follower()
    setup.store.put(_TABLE, 'a', b'')
    await follower.poll()
    await setup.simulate_outage(follower, seconds=3)
    setup.store.put(_TABLE, 'b', b'')
    copied = (await setup.store.read_table(_TABLE)).unwrap()
    assert follower.apply_peer_image(copied)
    setup.store.remove(_TABLE, 'a')
    setup.clock.advance(0.1)
    await follower.poll()
    assert setup.received_rows[-1] == ('a', True)


async def test_removal_without_an_outage_is_passed_on_at_once() -> None:
    setup = _FollowerSetup()
    follower = setup.create_follower()
    setup.store.put(_TABLE, 'a', b'')
    await follower.poll()
    await setup.simulate_outage(follower, seconds=0.5)
    setup.store.remove(_TABLE, 'a')
    await follower.poll()
    assert setup.received_rows[-1] == ('a', True)


async def test_age_grows_while_the_store_is_unreachable() -> None:
    setup = _FollowerSetup()
    follower = setup.create_follower()
    await follower.poll()
    await setup.simulate_outage(follower, seconds=3)
    assert (follower.is_failing, follower.age_s) == (True, 3)
    await follower.poll()
    assert (follower.is_failing, follower.age_s) == (False, 0)


async def test_image_of_a_peer_is_applied_only_if_it_is_newer() -> None:
    setup = _FollowerSetup()
    follower = setup.create_follower()
    setup.store.put(_TABLE, 'a', b'')
    setup.store.put(_TABLE, 'a', b'')
    await follower.poll()
    stale = Changes((Row('a', b'old', 1),), 1)
    newer = Changes((Row('c', b'new', 9),), 9)
    assert not follower.apply_peer_image(stale)
    assert follower.apply_peer_image(newer)
    assert setup.received_rows[-2:] == [('c', False), ('a', True)]
    await follower.poll()
    assert follower.image.rows.keys() == {'c'}


def test_late_answer_does_not_restore_removed_rows() -> None:
    image = TableImage()
    image.replace(Changes((Row('a', b'', 3),), 3))
    image.replace(Changes((Row('b', b'', 8),), 8))
    late = Changes((Row('a', b'', 5), Row('b', b'', 6)), 7)
    assert not image.merge(late)
    assert image.rows.keys() == {'b'}
    assert image.merge(Changes((Row('a', b'', 9),), 9))


def test_row_written_and_removed_within_one_answer_is_removed() -> None:
    image = TableImage()
    image.replace(Changes((), 3))
    rows = (Row('a', b'', 5), Row('a', b'', 6, is_removed=True))
    changed_rows = image.merge(Changes(rows, 7))
    assert changed_rows == rows
    assert not image.rows


async def test_deferred_removals_are_passed_on_when_due() -> None:
    """The pause after other changes delayed them by another second."""
    setup = _FollowerSetup()
    settings = FollowerSettings(
        _TABLE,
        wait_s=0,
        spacing_s=1.3,
        settle_s=_SETTLE_S,
        outage_s=1,
    )
    follower = Follower(setup.store, settings, setup.clock, setup.record_row)
    setup.store.put(_TABLE, 'a', b'')
    await follower.poll()
    await setup.simulate_outage(follower, 3)
    setup.store.remove(_TABLE, 'a')
    await follower.poll()
    setup.clock.advance(1.5)
    setup.store.put(_TABLE, 'b', b'')
    await follower.poll()
    pause_s = follower._compute_pause()
    assert pause_s <= _SETTLE_S - 1.5
    setup.clock.advance(pause_s)
    await follower.poll()
    assert setup.received_rows[-1] == ('a', True)


async def _wait_for_row(setup: _FollowerSetup) -> bool:
    try:
        async with asyncio.timeout(1):
            while not setup.received_rows:
                await asyncio.sleep(0.01)
    except TimeoutError:
        return False
    return True


async def test_call_that_an_outage_swallowed_is_abandoned() -> None:
    setup = _FollowerSetup()
    settings = FollowerSettings(_TABLE)
    follower = Follower(setup.store, settings, SystemClock(), setup.record_row)
    await follower.poll()
    setup.store.faults.is_silent = True
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.1)
    setup.store.faults.is_silent = False
    setup.store.put(_TABLE, 'a', b'')
    assert follower.call.quiet_s > 0
    follower.refresh()
    assert await _wait_for_row(setup)
    task.cancel()


async def test_shorter_wait_applies_to_the_call_under_way() -> None:
    setup = _FollowerSetup()
    settings = FollowerSettings(_TABLE, answer_s=0.1)
    follower = Follower(setup.store, settings, SystemClock(), setup.record_row)
    await follower.poll()
    setup.store.faults.is_silent = True
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.1)
    follower.limit_wait(0.1)
    await asyncio.sleep(0.3)
    assert follower.is_failing
    task.cancel()


class _ForgettingStore(MemoryFeedStore):
    """Forgets its history before each call that needs it."""

    reads = 0

    async def read_table(
        self, table: str, progress: CallProgress | None = None
    ) -> Result[Changes, FeedError]:
        self.reads += 1
        return await MemoryFeedStore.read_table(self, table)

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        answer_s: float = 0,
        progress: CallProgress | None = None,
    ) -> Result[Changes, FeedError]:
        return Err(HistoryLostError('status 410'))


async def test_history_lost_again_and_again_is_not_asked_for_in_a_spin() -> (
    None
):
    """The store was called without a pause, and the process was busy."""
    store = _ForgettingStore()
    settings = FollowerSettings(_TABLE, wait_s=1)
    follower = Follower(store, settings, SystemClock(), lambda _row: None)
    following = asyncio.create_task(follower.run())
    await asyncio.sleep(2)
    following.cancel()
    assert 3 <= store.reads <= 12
