"""Progress of a drain until its target can be switched off."""

from dataclasses import dataclass
from enum import Enum

from crocusshunt.drains._rows import Drain, DrainKind
from crocusshunt.routing import Route, Tables

_MILLISECONDS = 1000
_MAX_AGE_S = 5


class DrainStage(str, Enum):
    """Stages of a drain, in chronological order."""

    propagating = 'gateways and locators are learning of it'
    cache_expiring = 'callers may still hold answers that name it'
    finishing = 'requests that began before are running'
    safe = 'safe to switch off'


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """Maximum durations of the stages of a drain, in seconds.

    :param propagation_s: time until a change is in force on every host.
    :param lifetime_s: time for which callers cache an answer of the locator.
    :param deadline_s: time for which a request may run.
    """

    propagation_s: float
    lifetime_s: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class DrainObservation:
    """Observed state of a drain.

    :param elapsed_s: time since the drain was accepted, in seconds.
    :param running: number of requests that still run on the drain's target,
        None if not measured.
    :param age_s: time since this number was measured, in seconds.
    """

    elapsed_s: float
    running: int | None = None
    age_s: float = 0


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """Progress of a drain.

    :param stage: current stage.
    :param remaining_s: maximum time, in seconds, until the target can be
        switched off; 0 if it is safe. It can be 0 before, while requests run
        past their deadline.
    :param running: number of requests that still run on the drain's target,
        None if not measured.
    """

    stage: DrainStage
    remaining_s: float
    running: int | None

    @property
    def is_safe(self) -> bool:
        """Return whether the drain's target may be switched off."""
        return self.stage is DrainStage.safe


def find_bounds(
    tables: Tables,
    propagation_s: float,
    lifetime_s: float,
) -> DrainBounds:
    """Return the maximum durations of the stages for a configuration.

    The request deadline is the longest one of all routes.

    :param tables: the configuration in force.
    :param propagation_s: time until a change is in force on every host, in
        seconds.
    :param lifetime_s: time for which callers cache an answer of the locator,
        in seconds.
    """
    longest_ms = max(
        (row.deadline_ms for row in tables.select(Route)), default=0
    )
    return DrainBounds(propagation_s, lifetime_s, longest_ms / _MILLISECONDS)


def measure_progress(
    drain: Drain,
    observation: DrainObservation,
    bounds: DrainBounds,
) -> DrainProgress:
    """Return the progress of a drain.

    Cached locator answers contain entry hosts only, so only drains that can
    include entry hosts wait until these answers expire. After that no
    request can begin on the target. The drain then ends early if a count of
    running requests is fresh, was taken after the last request could have
    begun, and is 0; without such a count it ends when the longest request
    deadline has passed.

    :param drain: row of the drain.
    :param observation: the observed state.
    :param bounds: maximum durations of the stages.

    >>> drain = Drain('d', DrainKind.server, 's1')
    >>> bounds = DrainBounds(propagation_s=15, lifetime_s=5, deadline_s=30)
    >>> running = DrainObservation(16, running=2)
    >>> measure_progress(drain, running, bounds).stage.name
    'finishing'
    >>> ended = DrainObservation(16, running=0)
    >>> measure_progress(drain, ended, bounds).is_safe
    True
    """
    last_start_s = bounds.propagation_s
    if has_entry_hosts(drain):
        last_start_s += bounds.lifetime_s
    remaining_s = max(
        0, last_start_s + bounds.deadline_s - observation.elapsed_s
    )
    stage = _find_stage(observation, bounds, last_start_s, remaining_s)
    if stage is DrainStage.safe:
        remaining_s = 0
    return DrainProgress(stage, remaining_s, observation.running)


def has_entry_hosts(drain: Drain) -> bool:
    """Return whether a drain can include entry hosts."""
    return drain.kind not in {DrainKind.server, DrainKind.pool}


def _find_stage(
    observation: DrainObservation,
    bounds: DrainBounds,
    last_start_s: float,
    remaining_s: float,
) -> DrainStage:
    if observation.elapsed_s < bounds.propagation_s:
        return DrainStage.propagating
    if observation.elapsed_s < last_start_s:
        return DrainStage.cache_expiring
    is_count_usable = observation.age_s <= min(
        _MAX_AGE_S,
        observation.elapsed_s - last_start_s,
    )
    if is_count_usable and observation.running is not None:
        return DrainStage.finishing if observation.running else DrainStage.safe
    return DrainStage.finishing if remaining_s else DrainStage.safe
