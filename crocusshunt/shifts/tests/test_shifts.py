"""Steps of a shift under measurements that stop, lag and lie."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok, Result

from crocusshunt.routing import FailureDomain, Pool, Tables, find_faults
from crocusshunt.shifts import (
    HeldStepError,
    RegionShare,
    Shift,
    ShiftState,
    ShiftStateError,
    StepInputs,
    StepSettings,
    find_jumps,
    find_region_shares,
    list_commands,
    plan_step,
)
from crocusshunt.steering import LinkLoad, Obstacle, PoolLoad, Readings

_SHIFT = Shift(
    's',
    'verify',
    'addis',
    'dire',
    share=0.5,
    state=ShiftState.running,
)
_SOURCE = PoolLoad(slots=20, busy=8, offered=8, mbits=100)
_TARGET = PoolLoad(slots=20, busy=8, offered=8)
_LINK = LinkLoad(mbits=100)


def _facts(
    source: PoolLoad | None = _SOURCE,
    target: PoolLoad | None = _TARGET,
    link: LinkLoad | None = _LINK,
) -> StepInputs:
    pools = {('verify', 'addis'): source, ('verify', 'dire'): target}
    known = {place: load for place, load in pools.items() if load is not None}
    links = {} if link is None else {('addis', 'dire'): link}
    return StepInputs(Readings(known, links), 280, since_step_s=60)


def _explain(facts: StepInputs, shift: Shift = _SHIFT) -> str:
    return plan_step(shift, facts, StepSettings()).unwrap_err().reason


def test_step_is_within_its_cap() -> None:
    """A step moves its share and counts up."""
    stepped = plan_step(_SHIFT, _facts(), StepSettings()).unwrap()
    assert (stepped.moved, stepped.step) == (0.1, 1)


@pytest.mark.parametrize(
    ('facts', 'obstacle'),
    [
        (_facts(target=None), Obstacle.missing),
        (_facts(link=None), Obstacle.missing),
        (_facts(source=replace(_SOURCE, age_s=11)), Obstacle.stale),
        (_facts(target=replace(_TARGET, busy=-1)), Obstacle.implausible),
        (_facts(target=replace(_TARGET, busy=21)), Obstacle.implausible),
        (_facts(link=LinkLoad(float('nan'))), Obstacle.implausible),
        (_facts(target=replace(_TARGET, busy=15.5)), Obstacle.no_room),
        (_facts(target=replace(_TARGET, errors=0.1)), Obstacle.errors),
        (_facts(target=replace(_TARGET, slowdown=2)), Obstacle.cold),
        (_facts(link=LinkLoad(220)), Obstacle.link_full),
    ],
)
def test_obstacles_hold_a_step(facts: StepInputs, obstacle: Obstacle) -> None:
    """Each safety check holds the step and says why."""
    assert _explain(facts) == obstacle.value


def test_measurement_older_than_the_last_step_holds() -> None:
    """Load that lags by more than the pace never lets a step pass."""
    facts = replace(_facts(), since_step_s=31)
    lagging = replace(_SHIFT, pace_s=2)
    old = replace(_TARGET, age_s=3)
    late = replace(_facts(target=old), since_step_s=2.5)
    assert plan_step(lagging, facts, StepSettings()).is_ok()
    assert _explain(late, lagging) == Obstacle.stale.value
    soon = replace(_facts(), since_step_s=29)
    assert 'pace' in _explain(soon)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.sampled_from(('step', 'blind', *list_commands())),
        max_size=60,
    ),
    st.floats(0.05, 1),
    st.floats(0.01, 1),
)
def test_no_order_of_commands_breaks_the_cap(
    commands: list[str],
    share: float,
    step_share: float,
) -> None:
    """Each change moves at most a step's share and stays within the share."""
    shift = replace(
        _SHIFT,
        state=ShiftState.planned,
        share=share,
        step_share=step_share,
    )
    source = replace(_SOURCE, offered=1, mbits=1)
    for command in commands:
        before = shift
        stepped: Result[Shift, HeldStepError | ShiftStateError]
        if command in {'step', 'blind'}:
            facts = _facts(None if command == 'blind' else source)
            stepped = plan_step(shift, facts, StepSettings())
        else:
            stepped = list_commands()[command](shift)
        shift = stepped.unwrap_or(shift)
        change = abs(shift.moved - before.moved)
        assert change <= step_share + 1e-6
        assert 0 <= shift.moved <= share
        if command != 'step':
            assert change == 0
        if isinstance(stepped, Ok) and command in {'step', 'blind'}:
            assert shift.step == before.step + 1


def test_reversal_goes_back_in_steps_and_ends() -> None:
    """A finished shift moves back to nothing before it is planned again."""
    shift = replace(_SHIFT, state=ShiftState.finished, moved=0.25, step=3)
    shift = list_commands()['reverse'](shift).unwrap()
    moved = []
    while shift.state is ShiftState.reversing:
        shift = plan_step(shift, _facts(), StepSettings()).unwrap()
        moved.append(shift.moved)
    assert moved == [0.15, 0.05, 0, 0]
    assert shift.state is ShiftState.planned


def test_conflicting_shifts_are_refused() -> None:
    """Two shifts of a pool may not touch one region; planned ones may."""
    tables = Tables().put(
        Pool('verify'),
        FailureDomain('a', 'addis'),
        FailureDomain('d', 'dire'),
        FailureDomain('b', 'bahir'),
        _SHIFT,
    )
    other = replace(_SHIFT, name='t', source='bahir')
    problems = [fault.problem for fault in find_faults(tables.put(other))]
    assert problems == ["conflicts with shift 's'"]
    planned = replace(other, state=ShiftState.planned)
    assert not find_faults(tables.put(planned))


def test_shares_are_those_of_the_gateways_region() -> None:
    """A gateway moves what shifts say of its own region and pool."""
    tables = Tables().put(replace(_SHIFT, moved=0.2))
    shares = find_region_shares(tables, 'verify', 'addis')
    assert shares == (RegionShare('dire', 0.2),)
    assert not find_region_shares(tables, 'verify', 'dire')
    assert not find_region_shares(tables, 'renew', 'addis')


@pytest.mark.parametrize(
    ('row', 'problem'),
    [
        (replace(_SHIFT, moved=0.3), ''),
        (replace(_SHIFT, moved=0.31), 'moves more than one step'),
        (replace(_SHIFT, moved=0), 'moves more than one step'),
        (replace(_SHIFT, moved=0.2, source='bahir'), 'still moves 20%'),
        (replace(_SHIFT, moved=0.5, step_share=1), 'moves more than one step'),
    ],
)
def test_edits_that_jump_are_found(row: Shift, problem: str) -> None:
    """An edit may not move what a step may not."""
    before = Tables().put(replace(_SHIFT, moved=0.2))
    faults = find_jumps(before, Tables().put(row))
    assert bool(faults) == bool(problem)
    assert all(problem in fault.problem for fault in faults)
