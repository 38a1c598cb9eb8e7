"""Simulations of shifts under faults, link budgets and drains."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from crocusshunt.drains import (
    Drain,
    DrainBounds,
    DrainKind,
    DrainObservation,
    measure_progress,
)
from crocusshunt.shifts import (
    Shift,
    StepInputs,
    StepSettings,
    list_commands,
    plan_step,
)
from crocusshunt.steering import LinkBudget, LinkLoad, PoolLoad, Readings

_SHIFTS = 300
_EVENTS = 200
_LINK_MBITS = 280
_CALLERS = 300
_HOST_SHARE = 0.3
_MEAN_REQUEST_S = 0.4
_MEAN_REQUEST_INTERVAL_S = 0.5
_START_CHANCE = 0.05
_STOP_CHANCE = 0.02
_LIST_UPDATE_CHANCE = 0.2
_COMMAND_CHANCE = 0.2
_READING_CHANCE = 0.9


@dataclass(frozen=True, slots=True)
class DrainOutcome:
    """Result of a simulated drain.

    :param safe_s: time at which the host was reported safe to switch off, in
        seconds.
    :param cut: requests that were still running at that time.
    """

    safe_s: float
    cut: int


def measure_shift_excess(seed: int) -> float:
    """Return the largest share by which a step or shift exceeded its cap."""
    source = Random(seed)
    excess: float = 0
    for _ in range(_SHIFTS):
        share = source.uniform(0.05, 1)
        shift = Shift(
            's',
            'verify',
            'addis',
            'dire',
            share=share,
            step_share=source.uniform(0.01, 1),
        )
        for _ in range(_EVENTS):
            changed = _apply_random_event(shift, source)
            change = abs(changed.moved - shift.moved)
            excess = max(excess, change - shift.step_share)
            excess = max(excess, changed.moved - share)
            shift = changed
    return round(max(0, excess), 6)


def measure_link_excess(seed: int) -> float:
    """Return the Mbit/s by which the gateways' shares exceeded a link limit."""
    source = Random(seed)
    budgets: list[LinkBudget] = []
    listed_hosts = 0
    excess: float = 0
    for now_s in range(2_000):
        if len(budgets) < 9 and source.random() < _START_CHANCE:
            budgets.append(LinkBudget(_LINK_MBITS, now_s))
        if budgets and source.random() < _STOP_CHANCE:
            budgets.pop(source.randrange(len(budgets)))
        if source.random() < _LIST_UPDATE_CHANCE:
            # The platform's host list is a few seconds out of date.
            listed_hosts = len(budgets)
        for one in budgets:
            one.record_host_count(max(1, listed_hosts), now_s)
        total_share = sum(budget.compute_share(now_s) for budget in budgets)
        excess = max(excess, total_share - _LINK_MBITS)
    return round(max(0, excess), 6)


def simulate_drain(bounds: DrainBounds, seed: int) -> DrainOutcome:
    """Simulate the drain of a host whose callers cache look-up answers."""
    ends = sorted(_generate_request_ends(bounds, Random(seed)))
    drain = Drain('d', DrainKind.host, 'h1')
    now_s = 0
    while True:
        running = sum(end > now_s for end in ends)
        observation = DrainObservation(now_s, running, age_s=0)
        if measure_progress(drain, observation, bounds).is_safe:
            return DrainOutcome(now_s, running)
        now_s += 1


def _apply_random_event(shift: Shift, source: Random) -> Shift:
    """Return a shift after a random command, or a step on faulty readings."""
    if source.random() < _COMMAND_CHANCE:
        command = source.choice(sorted(list_commands()))
        return list_commands()[command](shift).unwrap_or(shift)
    pools = {
        ('verify', region): PoolLoad(
            20,
            source.choice((0, 5, 19, 25, float('nan'))),
            source.uniform(0, 20),
            age_s=source.choice((0, 0, 5, 60)),
        )
        for region in ('addis', 'dire')
        if source.random() < _READING_CHANCE
    }
    links = {('addis', 'dire'): LinkLoad(source.uniform(0, 400))}
    inputs = StepInputs(
        Readings(pools, links),
        _LINK_MBITS,
        since_step_s=source.uniform(0, 120),
    )
    return plan_step(shift, inputs, StepSettings()).unwrap_or(shift)


def _generate_request_ends(
    bounds: DrainBounds, source: Random
) -> Iterator[float]:
    """Yield when each request on the drained host ends, in seconds."""
    for _ in range(_CALLERS):
        learned_s = source.uniform(0, bounds.propagation_s)
        uses_host = source.random() < _HOST_SHARE
        now_s = -source.uniform(0, bounds.lifetime_s)
        expires_s = now_s + bounds.lifetime_s
        while now_s < learned_s + bounds.lifetime_s:
            if now_s >= expires_s:
                # Each look-up asks a locator, which may already know of the
                # drain.
                uses_host = now_s < learned_s and source.random() < _HOST_SHARE
                expires_s = now_s + bounds.lifetime_s
            if uses_host:
                spent_s = source.expovariate(1 / _MEAN_REQUEST_S)
                yield now_s + min(spent_s, bounds.deadline_s)
            now_s += source.expovariate(1 / _MEAN_REQUEST_INTERVAL_S)
