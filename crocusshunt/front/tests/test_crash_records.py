"""Crashes that hosts write into the store, and read when they start."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from unittest.mock import Mock

from hypothesis import example, given, settings
from hypothesis import strategies as st

from crocusshunt.core import ManualClock
from crocusshunt.crashes import Origin
from crocusshunt.front._crash_records import CrashRecords
from crocusshunt.front.tests._region import Region
from crocusshunt.standin import StoreCopy

_NAMES = ('a1', 'a2', 'a3', 'b1', 'b2')
_TABLE = 'crashes'
_CRASH_COUNT = 3
# The users' bound: so many sendings later than so long after the third crash.
_MAX_LATER_COUNT = 3
_SETTLING_S = 4
_STEP_S = 0.2
# The sum of the first three pauses; after more than ten minutes without a
# crash a request is sent again in any case.
_MAX_PLAY_S = 360
_ORIGIN = Origin('p', 'read', 'court')


@dataclass(slots=True)
class _Play:
    """Hosts that get one request that crashes whatever server runs it."""

    region: Region = field(default_factory=lambda: Region(names=_NAMES))
    crashes: list[float] = field(default_factory=list)

    @property
    def now(self) -> float:
        return self.region.clock.monotonic()

    async def start(self, names: Sequence[str]) -> None:
        """Start hosts, which end their former processes without a word."""
        for name in names:
            self.region.hosts.pop(name, None)
        for starting in names:
            self.region.start(starting)
            assert await self.region.records[starting].read()

    async def request(self, name: str) -> None:
        """Let a host have the request; after a moment the others hear of it."""
        watch = self.region.hosts[name].crashes
        if watch.is_quarantined('bad') and not watch.begin_trial('bad'):
            return
        self.crashes.append(self.now)
        watch.has_news |= watch.ledger.note_crash(
            'bad', f's{len(self.crashes)}', self.now, is_own=True
        )
        await self.advance(2 * _STEP_S)

    async def advance(self, seconds: float) -> None:
        """Let time pass, in which hosts do what they do all the time."""
        assert isinstance(self.region.clock, ManualClock)
        for step in range(round(seconds / _STEP_S)):
            self.region.clock.advance(_STEP_S)
            for host in self.region.hosts.values():
                host._check_for_changes()  # noqa: SLF001
                if not step % 5:
                    host.run_once()
            for records in self.region.records.values():
                await records.write_changes()

    def return_from(self, copied: StoreCopy) -> None:
        """Let the store come back from a copy, and hosts notice."""
        self.region.store.return_from(copied)
        image = Mock(rows={}, version=self.region.store.full_version)
        for host in self.region.hosts.values():
            host.followers.hosts.image = image

    def count_late(self) -> int:
        """Return how many sendings the users' bound counts."""
        if len(self.crashes) < _CRASH_COUNT:
            return 0
        settled_at = self.crashes[_CRASH_COUNT - 1] + _SETTLING_S
        return sum(at > settled_at for at in self.crashes)


_ACTIONS = st.one_of(
    st.tuples(st.just('request'), st.lists(st.sampled_from(_NAMES))),
    st.tuples(st.just('start'), st.sets(st.sampled_from(_NAMES)).map(sorted)),
    st.tuples(st.just('start'), st.just(_NAMES)),
    st.tuples(st.just('advance'), st.sampled_from((0.2, 3, 10, 45))),
)
# Each time the host that may try has forgotten that it did.
_STARTS_BEFORE_TRIALS = [
    ('request', _NAMES[:3]),
    *(('start', _NAMES), ('advance', 10), ('request', _NAMES)) * 5,
]


@given(st.lists(_ACTIONS, max_size=30))
@example(_STARTS_BEFORE_TRIALS)
@settings(deadline=None, max_examples=30)
def test_crashing_request_stays_quarantined_over_any_starts(
    actions: list[tuple[str, Sequence[str] | float]],
) -> None:
    """Hosts forgot it whenever all of them started within a moment."""
    asyncio.run(_play(actions))


async def _play(actions: list[tuple[str, Sequence[str] | float]]) -> None:
    play = _Play()
    await play.start(_NAMES)
    await play.advance(2)
    for kind, operand in actions:
        if play.now > _MAX_PLAY_S:
            break
        if isinstance(operand, float | int):
            await play.advance(operand)
        elif kind == 'start':
            await play.start(operand)
        else:
            for name in operand:
                await play.request(name)
    assert play.count_late() <= _MAX_LATER_COUNT


async def test_isolation_survives_a_start_of_all_hosts() -> None:
    """Different requests of its origin crashed more servers after it."""
    play = _Play()
    await play.start(_NAMES)
    watch = play.region.hosts['a1'].crashes
    for number in range(4):
        watch.ledger.note_crash(
            f'f{number}', f's{number}', play.now, is_own=True, origin=_ORIGIN
        )
        watch.isolation.update(watch.ledger.group_by_origin())
        await play.advance(0.4)
    assert watch.isolation.is_isolated('f9', _ORIGIN)
    await play.start(_NAMES)
    for host in play.region.hosts.values():
        assert host.crashes.isolation.is_isolated('f9', _ORIGIN)


async def test_rows_of_a_released_request_are_removed() -> None:
    """Otherwise each host that starts would suspect it again."""
    play = _Play()
    await play.start(_NAMES)
    for name in _NAMES[:3]:
        await play.request(name)
    await play.start(_NAMES)
    assert await _list_keys(play)
    play.region.hosts['b2'].crashes.note_answer('bad')
    await play.advance(3)
    assert not await _list_keys(play)


async def test_store_from_an_older_copy_gets_the_rows_again() -> None:
    play = _Play()
    copied = play.region.store.copy()
    await play.start(_NAMES)
    for name in _NAMES[:3]:
        await play.request(name)
    written = await _list_keys(play)
    play.return_from(copied)
    await play.advance(1)
    assert await _list_keys(play) == written


async def test_rows_of_former_processes_outlast_an_older_copy() -> None:
    """Hosts that had read them did not write what the store had lost."""
    play = _Play()
    copied = play.region.store.copy()
    await play.start(_NAMES)
    for name in _NAMES[:3]:
        await play.request(name)
    written = await _list_keys(play)
    await play.start(_NAMES)
    play.return_from(copied)
    await play.advance(1)
    assert await _list_keys(play) == written


async def test_rows_that_an_older_copy_brings_back_are_removed() -> None:
    """Hosts that started after it suspected a request that was released."""
    play = _Play()
    await play.start(_NAMES)
    for name in _NAMES[:3]:
        await play.request(name)
    copied = play.region.store.copy()
    play.region.hosts['b2'].crashes.note_answer('bad')
    await play.advance(3)
    play.return_from(copied)
    await play.advance(1)
    assert not await _list_keys(play)


async def test_failed_write_is_repeated() -> None:
    play = _Play()
    await play.start(_NAMES)
    play.region.store.faults.is_down = True
    await play.request('a1')
    await play.request('a2')
    play.region.store.faults.is_down = False
    await play.advance(1)
    assert len(await _list_keys(play)) == 2


async def test_rows_that_cannot_be_read_concern_no_request() -> None:
    play = _Play()
    for number, content in enumerate(
        (b'', b'[', b'["f1"]', b'["f1","s1",1,null]', b'["f1","s1",NaN]')
    ):
        play.region.store.put(_TABLE, f'f1/{number}', content)
    await play.start(_NAMES)
    assert play.region.hosts['a1'].crashes.ledger.is_empty


async def test_host_is_not_ready_before_it_knows_crashes() -> None:
    """It would send a request on that crashes servers."""
    play = _Play()
    play.region.start('a1')
    records = play.region.records['a1']
    assert not records.is_known
    assert await records.read()
    assert records.is_known


async def test_host_works_where_the_table_cannot_be_read() -> None:
    """The store answers all other calls, or none."""
    play = _Play()
    play.region.store.faults.is_down = True
    play.region.start('a1')
    records = play.region.records['a1']
    for _ in range(4):
        assert not records.is_known
        await records.read()
    assert records.is_known


async def test_host_works_while_the_store_fails() -> None:
    """Other hosts give it their tables and tell it of crashes then."""
    records = _start_without_store(has_tables=True)
    assert not await records.read()
    assert records.is_known


async def test_host_without_any_table_waits_for_the_crashes() -> None:
    """The store may answer for other tables first when it is back."""
    records = _start_without_store(has_tables=False)
    for _ in range(9):
        assert not await records.read()
    assert not records.is_known


def _start_without_store(*, has_tables: bool) -> CrashRecords:
    followers = Mock(
        versions=(),
        is_failing=Mock(return_value=True),
        servers=Mock(image=Mock(is_known=has_tables)),
        hosts=Mock(image=Mock(rows={}, version=0)),
    )
    region = Region(names=_NAMES, create_followers=lambda _: followers)
    region.store.faults.is_down = True
    region.start('a1')
    return region.records['a1']


async def _list_keys(play: _Play) -> list[str]:
    changes = (await play.region.store.read_table(_TABLE)).unwrap()
    return [row.key for row in changes.rows]
