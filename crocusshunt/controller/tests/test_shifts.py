"""Shifts continued by other hosts, and never stepped twice."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest
from result import Ok

from crocusshunt.configuration import (
    ChangeRequest,
    Configuration,
    EditRequest,
    Repository,
    apply_change,
    encode_row,
)
from crocusshunt.controller import ShiftRunner, ShiftSources
from crocusshunt.core import ManualClock, rank_by_rendezvous
from crocusshunt.routing import FailureDomain, Link, Pool, Row, find_row_table
from crocusshunt.shifts import Shift, ShiftState
from crocusshunt.standin import MemoryPlatform
from crocusshunt.steering import LinkLoad, PoolLoad, Readings

_PACE_S = 30
_HOSTS = ('h1', 'h2', 'h3')
_READINGS = Readings(
    {
        ('verify', 'addis'): PoolLoad(20, 4, 4),
        ('verify', 'dire'): PoolLoad(20, 4, 4),
    },
    {('addis', 'dire'): LinkLoad(10)},
)
_ROWS: tuple[Row, ...] = (
    Pool('verify'),
    FailureDomain('a', 'addis'),
    FailureDomain('d', 'dire'),
    Link('l', 'addis', 'dire', 280, 20),
    Shift('s', 'verify', 'addis', 'dire', state=ShiftState.running),
)


@dataclass
class _Site:
    """Hosts that share a store; each may hold an older configuration."""

    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    clock: ManualClock = field(default_factory=lambda: ManualClock(epoch=1.5))
    live: tuple[str, ...] = _HOSTS
    held: dict[str, Configuration] = field(default_factory=dict)

    async def start(self) -> None:
        self.repository = Repository(self.platform, self.clock)
        edits = tuple(
            EditRequest(find_row_table(row), row.name, encode_row(row))
            for row in _ROWS
        )
        request = ChangeRequest('first', 0, 'mina', 'start', edits)
        await self.repository.propose(request, Configuration())
        for name in _HOSTS:
            await self.follow(name)

    async def follow(self, name: str) -> None:
        held = self.held.get(name, Configuration())
        changes = await self.repository.read_changes(held.revision)
        for change in changes.unwrap():
            held = apply_change(held, change).unwrap()
        self.held[name] = held

    def create_runner(self, name: str) -> ShiftRunner:
        sources = ShiftSources(
            lambda: self.held[name],
            lambda: self.live,
            lambda: _READINGS,
        )
        return ShiftRunner(name, sources, self.repository, self.clock)

    async def read_shift(self) -> Shift:
        await self.follow('reader')
        return self.held['reader'].tables.select(Shift)[0]


@pytest.fixture
async def site() -> _Site:
    started = _Site()
    await started.start()
    return started


async def _advance_all(runners: Iterable[ShiftRunner]) -> int:
    outcomes = [one for runner in runners for one in await runner.advance()]
    return sum(isinstance(outcome, Ok) for outcome in outcomes)


async def test_dead_runner_is_continued_by_another(site: _Site) -> None:
    """Each pace has one step, also after the runner died."""
    runners = {name: site.create_runner(name) for name in _HOSTS}
    await _advance_all(runners.values())
    site.clock.advance(_PACE_S)
    assert await _advance_all(runners.values()) == 1
    for name in _HOSTS:
        await site.follow(name)
    assert (await site.read_shift()).step == 1
    dead = rank_by_rendezvous('shift s', _HOSTS)[0]
    runners.pop(dead)
    site.live = tuple(runners)
    await _advance_all(runners.values())
    site.clock.advance(_PACE_S - 1)
    assert await _advance_all(runners.values()) == 0
    site.clock.advance(1)
    assert await _advance_all(runners.values()) == 1
    assert (await site.read_shift()).step == 2


async def test_paused_runner_does_not_repeat_a_step(site: _Site) -> None:
    """A host that wakes late acts on an old revision and fails."""
    first, second, _ = rank_by_rendezvous('shift s', _HOSTS)
    paused, other = site.create_runner(first), site.create_runner(second)
    await paused.advance()
    await other.advance()
    site.clock.advance(_PACE_S)
    site.live = (second,)
    taken = await other.advance()
    site.live = _HOSTS
    assert await paused.advance() == taken
    assert (await site.read_shift()).step == 1


async def test_paused_runner_loses_to_any_other_change(site: _Site) -> None:
    """A step decided before an operator's change is not written after it."""
    runner = site.create_runner(rank_by_rendezvous('shift s', _HOSTS)[0])
    await runner.advance()
    site.clock.advance(_PACE_S)
    edits = (EditRequest('pool', 'renew', encode_row(Pool('renew'))),)
    request = ChangeRequest('other', 1, 'mina', 'new pool', edits)
    await site.repository.propose(request, site.held['h1'])
    outcomes = await runner.advance()
    assert outcomes[0].unwrap_err().code == 'revision-conflict'
    assert (await site.read_shift()).step == 0


async def test_lost_answer_is_no_second_step(site: _Site) -> None:
    """A step whose answer was lost is found by its id."""
    runner = site.create_runner(rank_by_rendezvous('shift s', _HOSTS)[0])
    await runner.advance()
    site.clock.advance(_PACE_S)
    site.platform.switches.lost_answers = 1
    await runner.advance()
    await runner.advance()
    shift = await site.read_shift()
    assert (shift.step, shift.moved) == (1, 0.1)


async def test_store_down_holds_a_shift(site: _Site) -> None:
    """Nothing moves while no step can be written."""
    runner = site.create_runner(rank_by_rendezvous('shift s', _HOSTS)[0])
    await runner.advance()
    site.clock.advance(_PACE_S)
    site.platform.switches.is_down = True
    assert await _advance_all((runner,)) == 0
    site.platform.switches.is_down = False
    assert await _advance_all((runner,)) == 1
