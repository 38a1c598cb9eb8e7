"""A follower through outages, lost history and peers."""

from dataclasses import dataclass, field

from crocusshunt.core import ManualClock
from crocusshunt.feeds import (
    Changes,
    Follower,
    FollowerSettings,
    Row,
    TableImage,
)
from crocusshunt.standin import MemoryFeedStore

_TABLE = 'servers'
_SETTLE_S = 2


@dataclass(slots=True)
class _Scene:
    """A follower that is polled by hand, and the news it passed on."""

    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    clock: ManualClock = field(default_factory=ManualClock)
    news: list[tuple[str, bool]] = field(default_factory=list)

    def create_follower(self) -> Follower:
        """Return a follower that never waits for news."""
        settings = FollowerSettings(_TABLE, 0, settle_s=_SETTLE_S, outage_s=1)
        return Follower(self.store, settings, self.clock, self.take)

    def take(self, rows: tuple[Row, ...]) -> None:
        """Keep what a follower passes on."""
        self.news.extend((row.key, row.is_removed) for row in rows)

    async def fail_for(self, follower: Follower, seconds: float) -> None:
        """Let the store be down for a time."""
        self.store.faults.is_down = True
        assert not await follower.poll()
        self.clock.advance(seconds)
        assert not await follower.poll()
        self.store.faults.is_down = False


async def test_rows_and_news_reach_the_sink_in_order() -> None:
    scene = _Scene()
    follower = scene.create_follower()
    scene.store.put(_TABLE, 'a', b'')
    await follower.poll()
    scene.store.put(_TABLE, 'b', b'')
    await follower.poll()
    scene.store.remove(_TABLE, 'a')
    await follower.poll()
    assert scene.news == [('a', False), ('b', False), ('a', True)]


async def test_lost_history_is_made_up_by_reading_the_table() -> None:
    scene = _Scene()
    follower = scene.create_follower()
    scene.store.put(_TABLE, 'a', b'')
    await follower.poll()
    scene.store.remove(_TABLE, 'a')
    scene.store.put(_TABLE, 'b', b'')
    scene.store.forget_history()
    await follower.poll()
    assert sorted(scene.news[1:]) == [('a', True), ('b', False)]


async def test_removals_after_an_outage_wait_for_entries_to_come_back() -> None:
    scene = _Scene()
    follower = scene.create_follower()
    for name in ('back', 'gone'):
        scene.store.put(_TABLE, name, b'')
    await follower.poll()
    await scene.fail_for(follower, seconds=3)
    scene.store.remove(_TABLE, 'back')
    scene.store.remove(_TABLE, 'gone')
    await follower.poll()
    scene.clock.advance(_SETTLE_S / 2)
    await follower.poll()
    assert ('gone', True) not in scene.news
    scene.store.put(_TABLE, 'back', b'')
    await follower.poll()
    scene.clock.advance(_SETTLE_S)
    await follower.poll()
    assert ('gone', True) in scene.news
    assert ('back', True) not in scene.news


async def test_removal_without_an_outage_counts_at_once() -> None:
    scene = _Scene()
    follower = scene.create_follower()
    scene.store.put(_TABLE, 'a', b'')
    await follower.poll()
    await scene.fail_for(follower, seconds=0.5)
    scene.store.remove(_TABLE, 'a')
    await follower.poll()
    assert scene.news[-1] == ('a', True)


async def test_age_grows_while_the_store_is_away() -> None:
    scene = _Scene()
    follower = scene.create_follower()
    await follower.poll()
    await scene.fail_for(follower, seconds=3)
    assert (follower.is_failing, follower.age_s) == (True, 3)
    await follower.poll()
    assert (follower.is_failing, follower.age_s) == (False, 0)


async def test_image_of_a_peer_counts_only_if_it_is_newer() -> None:
    scene = _Scene()
    follower = scene.create_follower()
    scene.store.put(_TABLE, 'a', b'')
    scene.store.put(_TABLE, 'a', b'')
    await follower.poll()
    stale = Changes((Row('a', b'old', 1),), 1)
    newer = Changes((Row('c', b'new', 9),), 9)
    assert not follower.apply_peer_image(stale)
    assert follower.apply_peer_image(newer)
    assert scene.news[-2:] == [('c', False), ('a', True)]
    await follower.poll()
    assert follower.image.rows.keys() == {'c'}


def test_answer_under_way_while_a_newer_image_came_brings_nothing_back() -> (
    None
):
    image = TableImage()
    image.replace(Changes((Row('a', b'', 3),), 3))
    image.replace(Changes((Row('b', b'', 8),), 8))
    late = Changes((Row('a', b'', 5), Row('b', b'', 6)), 7)
    assert not image.merge(late)
    assert image.rows.keys() == {'b'}
    assert image.merge(Changes((Row('a', b'', 9),), 9))


def test_row_written_and_removed_within_one_answer_is_gone() -> None:
    image = TableImage()
    image.replace(Changes((), 3))
    rows = (Row('a', b'', 5), Row('a', b'', 6, is_removed=True))
    news = image.merge(Changes(rows, 7))
    assert news == rows
    assert not image.rows


async def test_removals_put_off_are_passed_on_as_soon_as_it_settled() -> None:
    """A pause after other news held them back for another second."""
    scene = _Scene()
    settings = FollowerSettings(
        _TABLE,
        wait_s=0,
        spacing_s=1.3,
        settle_s=_SETTLE_S,
        outage_s=1,
    )
    follower = Follower(scene.store, settings, scene.clock, scene.take)
    scene.store.put(_TABLE, 'a', b'')
    await follower.poll()
    await scene.fail_for(follower, 3)
    scene.store.remove(_TABLE, 'a')
    await follower.poll()
    scene.clock.advance(1.5)
    scene.store.put(_TABLE, 'b', b'')
    await follower.poll()
    pause_s = follower._find_spacing()
    assert pause_s <= _SETTLE_S - 1.5
    scene.clock.advance(pause_s)
    await follower.poll()
    assert scene.news[-1] == ('a', True)
