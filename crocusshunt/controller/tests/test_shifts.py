"""Shifts are continued by other hosts, and no step is taken twice."""

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
class _Deployment:
    """Hosts that share a store; each has its own copy of the configuration."""

    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    clock: ManualClock = field(default_factory=lambda: ManualClock(epoch=1.5))
    live_hosts: tuple[str, ...] = _HOSTS
    configurations: dict[str, Configuration] = field(default_factory=dict)

    async def start(self) -> None:
        self.repository = Repository(self.platform, self.clock)
        edits = tuple(
            EditRequest(find_row_table(row), row.name, encode_row(row))
            for row in _ROWS
        )
        request = ChangeRequest('first', 0, 'mina', 'start', edits)
        await self.repository.propose(request, Configuration())
        for name in _HOSTS:
            await self.update_configuration(name)

    async def update_configuration(self, name: str) -> None:
        held = self.configurations.get(name, Configuration())
        changes = await self.repository.read_changes(held.revision)
        for change in changes.unwrap():
            held = apply_change(held, change).unwrap()
        self.configurations[name] = held

    def create_runner(self, name: str) -> ShiftRunner:
        sources = ShiftSources(
            lambda: self.configurations[name],
            lambda: self.live_hosts,
            lambda: _READINGS,
        )
        return ShiftRunner(name, sources, self.repository, self.clock)

    async def read_shift(self) -> Shift:
        await self.update_configuration('reader')
        return self.configurations['reader'].tables.select(Shift)[0]


@pytest.fixture
async def deployment() -> _Deployment:
    started = _Deployment()
    await started.start()
    return started


async def _advance_all(runners: Iterable[ShiftRunner]) -> int:
    outcomes = [one for runner in runners for one in await runner.advance()]
    return sum(isinstance(outcome, Ok) for outcome in outcomes)


async def test_dead_runner_is_continued_by_another(
    deployment: _Deployment,
) -> None:
    """After the runner died, another host still takes one step per pace."""
    runners = {name: deployment.create_runner(name) for name in _HOSTS}
    await _advance_all(runners.values())
    deployment.clock.advance(_PACE_S)
    assert await _advance_all(runners.values()) == 1
    for name in _HOSTS:
        await deployment.update_configuration(name)
    assert (await deployment.read_shift()).step == 1
    dead = rank_by_rendezvous('shift s', _HOSTS)[0]
    runners.pop(dead)
    deployment.live_hosts = tuple(runners)
    await _advance_all(runners.values())
    deployment.clock.advance(_PACE_S - 1)
    assert await _advance_all(runners.values()) == 0
    deployment.clock.advance(1)
    assert await _advance_all(runners.values()) == 1
    assert (await deployment.read_shift()).step == 2


async def test_paused_runner_does_not_repeat_a_step(
    deployment: _Deployment,
) -> None:
    """A host that resumes late decides from an old revision.

    Its step then has the id of the step already taken, and it gets the outcome
    of that one.
    """
    first, second, _ = rank_by_rendezvous('shift s', _HOSTS)
    paused, other = (
        deployment.create_runner(first),
        deployment.create_runner(second),
    )
    await paused.advance()
    await other.advance()
    deployment.clock.advance(_PACE_S)
    deployment.live_hosts = (second,)
    taken = await other.advance()
    deployment.live_hosts = _HOSTS
    assert await paused.advance() == taken
    assert (await deployment.read_shift()).step == 1


async def test_step_from_an_older_revision_is_refused(
    deployment: _Deployment,
) -> None:
    """A step decided before an operator's change is not written after it."""
    runner = deployment.create_runner(rank_by_rendezvous('shift s', _HOSTS)[0])
    await runner.advance()
    deployment.clock.advance(_PACE_S)
    edits = (EditRequest('pool', 'renew', encode_row(Pool('renew'))),)
    request = ChangeRequest('other', 1, 'mina', 'new pool', edits)
    await deployment.repository.propose(
        request, deployment.configurations['h1']
    )
    outcomes = await runner.advance()
    assert outcomes[0].unwrap_err().code == 'revision-conflict'
    assert (await deployment.read_shift()).step == 0


async def test_lost_answer_does_not_repeat_a_step(
    deployment: _Deployment,
) -> None:
    """A step whose answer was lost is recognised by the id of its change."""
    runner = deployment.create_runner(rank_by_rendezvous('shift s', _HOSTS)[0])
    await runner.advance()
    deployment.clock.advance(_PACE_S)
    deployment.platform.switches.lost_answers = 1
    await runner.advance()
    await runner.advance()
    shift = await deployment.read_shift()
    assert (shift.step, shift.moved) == (1, 0.1)


async def test_shift_waits_while_the_store_is_down(
    deployment: _Deployment,
) -> None:
    """No step is taken while none can be written."""
    runner = deployment.create_runner(rank_by_rendezvous('shift s', _HOSTS)[0])
    await runner.advance()
    deployment.clock.advance(_PACE_S)
    deployment.platform.switches.is_down = True
    assert await _advance_all((runner,)) == 0
    deployment.platform.switches.is_down = False
    assert await _advance_all((runner,)) == 1
