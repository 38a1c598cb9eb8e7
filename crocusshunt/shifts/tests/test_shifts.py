"""Steps of a shift with missing, delayed and wrong measurements."""

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
    find_region_shares,
    find_step_violations,
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


def _create_inputs(
    source: PoolLoad | None = _SOURCE,
    target: PoolLoad | None = _TARGET,
    link: LinkLoad | None = _LINK,
) -> StepInputs:
    pools = {('verify', 'addis'): source, ('verify', 'dire'): target}
    measured = {
        place: load for place, load in pools.items() if load is not None
    }
    links = {} if link is None else {('addis', 'dire'): link}
    return StepInputs(Readings(measured, links), 280, since_step_s=60)


def _get_held_reason(inputs: StepInputs, shift: Shift = _SHIFT) -> str:
    return plan_step(shift, inputs, StepSettings()).unwrap_err().reason


def test_step_moves_its_share() -> None:
    """A step adds its share and increments the step number."""
    stepped = plan_step(_SHIFT, _create_inputs(), StepSettings()).unwrap()
    assert (stepped.moved, stepped.step) == (0.1, 1)


@pytest.mark.parametrize(
    ('inputs', 'obstacle'),
    [
        (_create_inputs(target=None), Obstacle.missing),
        (_create_inputs(link=None), Obstacle.missing),
        (_create_inputs(source=replace(_SOURCE, age_s=11)), Obstacle.stale),
        (
            _create_inputs(target=replace(_TARGET, busy=-1)),
            Obstacle.implausible,
        ),
        (
            _create_inputs(target=replace(_TARGET, busy=21)),
            Obstacle.implausible,
        ),
        (_create_inputs(link=LinkLoad(float('nan'))), Obstacle.implausible),
        (_create_inputs(target=replace(_TARGET, busy=15.5)), Obstacle.no_room),
        (_create_inputs(target=replace(_TARGET, errors=0.1)), Obstacle.errors),
        (_create_inputs(target=replace(_TARGET, slowdown=2)), Obstacle.cold),
        (_create_inputs(link=LinkLoad(220)), Obstacle.link_full),
    ],
)
def test_obstacles_prevent_a_step(
    inputs: StepInputs, obstacle: Obstacle
) -> None:
    """Each safety check prevents the step and names the reason."""
    assert _get_held_reason(inputs) == obstacle.value


def test_measurement_older_than_last_step_prevents_a_step() -> None:
    """No step is taken on a measurement from before the last step.

    This holds even if the time since that step exceeds the pace, before which
    no step is taken at all.
    """
    inputs = replace(_create_inputs(), since_step_s=31)
    fast_shift = replace(_SHIFT, pace_s=2)
    outdated_target = replace(_TARGET, age_s=3)
    outdated_inputs = replace(
        _create_inputs(target=outdated_target), since_step_s=2.5
    )
    assert plan_step(fast_shift, inputs, StepSettings()).is_ok()
    assert _get_held_reason(outdated_inputs, fast_shift) == Obstacle.stale.value
    too_early = replace(_create_inputs(), since_step_s=29)
    assert 'pace' in _get_held_reason(too_early)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.sampled_from(('step', 'step-unmeasured', *list_commands())),
        max_size=60,
    ),
    st.floats(0.05, 1),
    st.floats(0.01, 1),
)
def test_no_command_sequence_exceeds_the_step_share(
    commands: list[str],
    share: float,
    step_share: float,
) -> None:
    """Each change moves at most one step share, within the total share."""
    shift = replace(
        _SHIFT,
        state=ShiftState.planned,
        share=share,
        step_share=step_share,
    )
    source = replace(_SOURCE, offered=1, mbits=1)
    for command in commands:
        previous = shift
        stepped: Result[Shift, HeldStepError | ShiftStateError]
        if command in {'step', 'step-unmeasured'}:
            inputs = _create_inputs(
                None if command == 'step-unmeasured' else source
            )
            stepped = plan_step(shift, inputs, StepSettings())
        else:
            stepped = list_commands()[command](shift)
        shift = stepped.unwrap_or(shift)
        change = abs(shift.moved - previous.moved)
        assert change <= step_share + 1e-6
        assert 0 <= shift.moved <= share
        if command != 'step':
            assert change == 0
        if isinstance(stepped, Ok) and command in {'step', 'step-unmeasured'}:
            assert shift.step == previous.step + 1


def test_reversal_moves_load_back_in_steps() -> None:
    """A reversed shift returns all its load before it is planned again."""
    shift = replace(_SHIFT, state=ShiftState.finished, moved=0.25, step=3)
    shift = list_commands()['reverse'](shift).unwrap()
    moved = []
    while shift.state is ShiftState.reversing:
        shift = plan_step(shift, _create_inputs(), StepSettings()).unwrap()
        moved.append(shift.moved)
    assert moved == [0.15, 0.05, 0, 0]
    assert shift.state is ShiftState.planned


def test_conflicting_shifts_are_refused() -> None:
    """Active shifts of a pool may not share a region; planned ones may."""
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


def test_region_shares_match_source_region_and_pool() -> None:
    """Shares are found only for the source region and pool of a shift."""
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
def test_edits_beyond_one_step_are_refused(row: Shift, problem: str) -> None:
    """An edit may not move more load than one step."""
    previous = Tables().put(replace(_SHIFT, moved=0.2))
    faults = find_step_violations(previous, Tables().put(row))
    assert bool(faults) == bool(problem)
    assert all(problem in fault.problem for fault in faults)
