"""Decision on the next step of a shift."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.shifts._rows import Shift, ShiftState
from crocusshunt.steering import Obstacle, PoolLoad, Readings, check_reading

_SHARE_DIGITS = 6


@dataclass(frozen=True, slots=True)
class StepSettings:
    """Limits that each step is checked against.

    :param greatest_age_s: greatest age of a measurement, in seconds.
    :param greatest_use: greatest share of a region's slots in use.
    :param link_use: greatest share of a link's limit in use.
    :param greatest_errors: greatest share of failed answers.
    :param greatest_slowdown: service time relative to the usual, above
        which caches count as cold.
    """

    greatest_age_s: float = 10
    greatest_use: float = 0.8
    link_use: float = 0.8
    greatest_errors: float = 0.02
    greatest_slowdown: float = 1.5


@dataclass(frozen=True, slots=True)
class StepInputs:
    """What a step is decided from.

    :param readings: the newest measurements.
    :param link_mbits: limit of the link that the step loads, in Mbit/s.
    :param since_step_s: time since this host first saw the last step, in
        seconds of its monotonic clock.
    """

    readings: Readings
    link_mbits: float
    since_step_s: float


@dataclass(unsafe_hash=True)
class HeldStepError(CrocusError):
    """A step that is not taken now.

    :param reason: what speaks against it.
    """

    code = 'step-held'

    reason: str


def plan_step(
    shift: Shift,
    facts: StepInputs,
    settings: StepSettings,
) -> Result[Shift, HeldStepError]:
    """Return the row after the next step, or why there is none now.

    A measurement older than the last step says nothing about it, so that
    lagging measurements make a shift slower and never larger. A reversal is
    a step of the same size the other way, under the same checks.

    :param settings: limits of every step.
    """
    moved = _find_next(shift)
    if moved == shift.moved:
        return _finish(shift)
    if facts.since_step_s < shift.pace_s:
        return Err(HeldStepError('the pace allows no step yet'))
    obstacle = _find_obstacle(shift, moved, facts, settings)
    if obstacle is not None:
        return Err(HeldStepError(obstacle.value))
    return Ok(replace(shift, moved=moved, step=shift.step + 1))


def _find_next(shift: Shift) -> float:
    if shift.state is ShiftState.running:
        return min(shift.share, _round(shift.moved + shift.step_share))
    if shift.state is ShiftState.reversing:
        return max(0, _round(shift.moved - shift.step_share))
    return shift.moved


def _round(share: float) -> float:
    return round(share, _SHARE_DIGITS)


def _finish(shift: Shift) -> Result[Shift, HeldStepError]:
    if shift.state is ShiftState.reversing:
        done = replace(shift, state=ShiftState.planned, step=shift.step + 1)
        return Ok(done)
    if shift.state is ShiftState.running:
        done = replace(shift, state=ShiftState.finished, step=shift.step + 1)
        return Ok(done)
    return Err(HeldStepError(f'the shift is {shift.state.value}'))


def _find_obstacle(
    shift: Shift,
    moved: float,
    facts: StepInputs,
    settings: StepSettings,
) -> Obstacle | None:
    receiver = shift.target if moved > shift.moved else shift.source
    pools = facts.readings.pools
    source = pools.get((shift.pool, shift.source))
    target = pools.get((shift.pool, receiver))
    age_s = min(settings.greatest_age_s, facts.since_step_s)
    for reading in (source, target):
        obstacle = check_reading(reading, age_s)
        if obstacle is not None:
            return obstacle
    if source is None or target is None:
        return Obstacle.missing
    change = abs(moved - shift.moved)
    problem = _judge_region(target, change * source.offered, settings)
    if problem is not None or moved < shift.moved:
        return problem
    return _judge_link(shift, change * source.mbits, facts, settings)


def _judge_region(
    target: PoolLoad,
    added_slots: float,
    settings: StepSettings,
) -> Obstacle | None:
    if target.busy + added_slots > target.slots * settings.greatest_use:
        return Obstacle.no_room
    if target.errors > settings.greatest_errors:
        return Obstacle.errors
    if target.slowdown > settings.greatest_slowdown:
        return Obstacle.cold
    return None


def _judge_link(
    shift: Shift,
    added_mbits: float,
    facts: StepInputs,
    settings: StepSettings,
) -> Obstacle | None:
    link = facts.readings.links.get((shift.source, shift.target))
    age_s = min(settings.greatest_age_s, facts.since_step_s)
    obstacle = check_reading(link, age_s)
    if link is None or obstacle is not None:
        return obstacle
    if link.mbits + added_mbits > facts.link_mbits * settings.link_use:
        return Obstacle.link_full
    return None
