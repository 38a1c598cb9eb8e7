"""Decision whether the next step of a shift may be taken."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.shifts._rows import Shift, ShiftState
from crocusshunt.steering import Obstacle, PoolLoad, Readings, check_reading

_SHARE_DIGITS = 6


@dataclass(frozen=True, slots=True)
class StepSettings:
    """Limits of the measured load within which a step may be taken.

    :param max_age_s: maximum age of a measurement, in seconds.
    :param max_utilization: maximum share of a region's slots in use, 0 to 1.
    :param max_link_utilization: maximum share of a link's limit in use, 0 to
        1.
    :param max_error_rate: maximum share of failed answers, 0 to 1.
    :param max_slowdown: ratio of the current to the usual service time
        above which the caches of a region count as cold.
    """

    max_age_s: float = 10
    max_utilization: float = 0.8
    max_link_utilization: float = 0.8
    max_error_rate: float = 0.02
    max_slowdown: float = 1.5


@dataclass(frozen=True, slots=True)
class StepInputs:
    """Observed state from which a step is decided.

    :param readings: the latest measurements.
    :param link_mbits: limit of the link that the step loads, in Mbit/s.
    :param since_step_s: time since this host first saw the last step, in
        seconds of its monotonic clock.
    """

    readings: Readings
    link_mbits: float
    since_step_s: float


@dataclass(unsafe_hash=True)
class HeldStepError(CrocusError):
    """A step that may not be taken now.

    :param reason: why it may not be taken.
    """

    code = 'step-held'

    reason: str


def plan_step(
    shift: Shift,
    inputs: StepInputs,
    settings: StepSettings,
) -> Result[Shift, HeldStepError]:
    """Return the row after the next step, or why no step may be taken now.

    Measurements older than the last step are rejected because they do not
    show its effect. Delayed measurements therefore slow a shift down but
    never let it exceed a limit. A reversal takes steps of the same size in
    the opposite direction; they pass the same checks of the region that
    receives the load, but not the check of the link, which they relieve.

    :param shift: current row of the shift.
    :param inputs: the observed state.
    :param settings: limits of each step.
    """
    moved = _compute_next_moved(shift)
    if moved == shift.moved:
        return _complete_shift(shift)
    if inputs.since_step_s < shift.pace_s:
        return Err(
            HeldStepError(
                'the minimum time between steps (pace_s) has not passed'
            )
        )
    obstacle = _find_obstacle(shift, moved, inputs, settings)
    if obstacle is not None:
        return Err(HeldStepError(obstacle.value))
    return Ok(replace(shift, moved=moved, step=shift.step + 1))


def _compute_next_moved(shift: Shift) -> float:
    if shift.state is ShiftState.running:
        return min(shift.share, _round_share(shift.moved + shift.step_share))
    if shift.state is ShiftState.reversing:
        return max(0, _round_share(shift.moved - shift.step_share))
    return shift.moved


def _round_share(share: float) -> float:
    return round(share, _SHARE_DIGITS)


def _complete_shift(shift: Shift) -> Result[Shift, HeldStepError]:
    if shift.state is ShiftState.reversing:
        completed = replace(
            shift, state=ShiftState.planned, step=shift.step + 1
        )
        return Ok(completed)
    if shift.state is ShiftState.running:
        completed = replace(
            shift, state=ShiftState.finished, step=shift.step + 1
        )
        return Ok(completed)
    return Err(HeldStepError(f'the shift is {shift.state.value}'))


def _find_obstacle(
    shift: Shift,
    moved: float,
    inputs: StepInputs,
    settings: StepSettings,
) -> Obstacle | None:
    receiver = shift.target if moved > shift.moved else shift.source
    pools = inputs.readings.pools
    source = pools.get((shift.pool, shift.source))
    target = pools.get((shift.pool, receiver))
    age_s = min(settings.max_age_s, inputs.since_step_s)
    for reading in (source, target):
        obstacle = check_reading(reading, age_s)
        if obstacle is not None:
            return obstacle
    if source is None or target is None:
        return Obstacle.missing
    moved_share = abs(moved - shift.moved)
    region_obstacle = _find_region_obstacle(
        target, moved_share * source.offered, settings
    )
    if region_obstacle is not None or moved < shift.moved:
        return region_obstacle
    return _find_link_obstacle(
        shift, moved_share * source.mbits, inputs, settings
    )


def _find_region_obstacle(
    target: PoolLoad,
    added_slots: float,
    settings: StepSettings,
) -> Obstacle | None:
    if target.busy + added_slots > target.slots * settings.max_utilization:
        return Obstacle.no_room
    if target.errors > settings.max_error_rate:
        return Obstacle.errors
    if target.slowdown > settings.max_slowdown:
        return Obstacle.cold
    return None


def _find_link_obstacle(
    shift: Shift,
    added_mbits: float,
    inputs: StepInputs,
    settings: StepSettings,
) -> Obstacle | None:
    link = inputs.readings.links.get((shift.source, shift.target))
    age_s = min(settings.max_age_s, inputs.since_step_s)
    obstacle = check_reading(link, age_s)
    if link is None or obstacle is not None:
        return obstacle
    if (
        link.mbits + added_mbits
        > inputs.link_mbits * settings.max_link_utilization
    ):
        return Obstacle.link_full
    return None
