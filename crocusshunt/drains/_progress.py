"""How far a drain is, and when it is safe to switch off."""

from dataclasses import dataclass
from enum import Enum

from crocusshunt.drains._rows import Drain, DrainKind
from crocusshunt.routing import Route, Tables

_MILLISECONDS = 1000
_GREATEST_AGE_S = 5


class DrainStage(str, Enum):
    """Stages of a drain, in their order."""

    spreading = 'gateways and locators are learning of it'
    cached = 'callers may still hold answers that name it'
    finishing = 'requests that began before are running'
    safe = 'safe to switch off'


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """Longest times of the stages, in seconds.

    :param propagation_s: until a change is in force everywhere.
    :param lifetime_s: for which callers keep an answer of the locator.
    :param deadline_s: for which a request may run.
    """

    propagation_s: float
    lifetime_s: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class DrainObservation:
    """What was seen of a drain.

    :param elapsed_s: time since the change was accepted, in seconds.
    :param running: requests that it still runs, None if not measured.
    :param age_s: time since that was measured, in seconds.
    """

    elapsed_s: float
    running: int | None = None
    age_s: float = 0


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """How far a drain is.

    :param remaining_s: longest time until it is safe to switch off.
    """

    stage: DrainStage
    remaining_s: float
    running: int | None

    @property
    def is_safe(self) -> bool:
        """Tell whether the drained part may be switched off."""
        return self.stage is DrainStage.safe


def find_bounds(
    tables: Tables,
    propagation_s: float,
    lifetime_s: float,
) -> DrainBounds:
    """Return the bounds that follow from the configuration.

    :param propagation_s: until a change is in force everywhere, in seconds.
    :param lifetime_s: of the locator's answers, in seconds.
    """
    longest_ms = max(
        (row.deadline_ms for row in tables.select(Route)), default=0
    )
    return DrainBounds(propagation_s, lifetime_s, longest_ms / _MILLISECONDS)


def measure_progress(
    drain: Drain,
    facts: DrainObservation,
    bounds: DrainBounds,
) -> DrainProgress:
    """Return how far a drain is.

    Only entry hosts stand in cached answers, so only drains that hold hosts
    wait for these. A count of running requests ends a drain early if it is
    fresh and was taken after the last request could have begun; without one
    the longest deadline has to pass.

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
    if has_hosts(drain):
        last_start_s += bounds.lifetime_s
    remaining_s = max(0, last_start_s + bounds.deadline_s - facts.elapsed_s)
    stage = _find_stage(facts, bounds, last_start_s, remaining_s)
    if stage is DrainStage.safe:
        remaining_s = 0
    return DrainProgress(stage, remaining_s, facts.running)


def has_hosts(drain: Drain) -> bool:
    """Tell whether a drain may hold entry hosts."""
    return drain.kind not in {DrainKind.server, DrainKind.pool}


def _find_stage(
    facts: DrainObservation,
    bounds: DrainBounds,
    last_start_s: float,
    remaining_s: float,
) -> DrainStage:
    if facts.elapsed_s < bounds.propagation_s:
        return DrainStage.spreading
    if facts.elapsed_s < last_start_s:
        return DrainStage.cached
    is_counted = facts.age_s <= min(
        _GREATEST_AGE_S,
        facts.elapsed_s - last_start_s,
    )
    if is_counted and facts.running is not None:
        return DrainStage.finishing if facts.running else DrainStage.safe
    return DrainStage.finishing if remaining_s else DrainStage.safe
