"""Simulation of balancing between regions on delayed load measurements."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import permutations

from crocusshunt.routing import Link, Priority
from crocusshunt.steering import (
    BalanceInputs,
    BalanceSettings,
    LinkLoad,
    LoadPlan,
    PoolLoad,
    Readings,
    advance_plan,
)

REGIONS = ('addis', 'dire', 'bahir')
STEP_S = 5
_LAG_STEPS = 2
_SLOTS = 20
_REMAINING_SLOTS = 4
_OFFERED_SLOTS = 12
_LOSS_STEP = 10
_STEPS = 120
_NOTICEABLE_SHARE = 0.01
_ZERO = float(0)
_LINKS = tuple(
    Link(f'{source}-{target}', source, target, 4000, 55)
    for source, target in permutations(REGIONS, 2)
)

Shares = dict[tuple[str, str], float]
Policy = Callable[[Readings, float], Shares]


@dataclass(slots=True)
class Outcome:
    """Behaviour of a policy after the loss of most servers of a region.

    :param settle_steps: steps from the loss to the last noticeable change.
    :param reversals: changes of a region's load in the opposite direction to
        the previous change.
    :param overload: slot-seconds above a region's slots that load from
        other regions caused.
    :param served: share of the load served at the end.
    """

    settle_steps: int = 0
    reversals: int = 0
    overload: float = 0
    served: float = 0


@dataclass(slots=True)
class DampedPolicy:
    """Policy that follows the load plan of the steering package.

    :param plan: the current plan.
    :param changed_s: time of the last change of its flows, in seconds.
    """

    plan: LoadPlan = field(default_factory=LoadPlan)
    changed_s: float = float('-inf')

    def __call__(self, readings: Readings, now_s: float) -> Shares:
        """Return the share of each source region's load by target region."""
        inputs = BalanceInputs(
            'verify',
            REGIONS,
            readings,
            _LINKS,
            since_step_s=now_s - self.changed_s,
        )
        planned = advance_plan(self.plan, inputs, BalanceSettings())
        if planned.flows != self.plan.flows:
            self.changed_s = now_s
        self.plan = planned
        demand = {
            region: planned.demand.get((Priority.normal, region), 0)
            for region in REGIONS
        }
        return {
            (source, target): slots / demand[source]
            for (_, source, target), slots in planned.flows.items()
        }


def split_in_proportion(readings: Readings, now_s: float) -> Shares:
    """Split all load in proportion to the free slots measured."""
    room = {
        region: max(0, load.slots - load.busy)
        for (_, region), load in readings.pools.items()
    }
    total = sum(room.values()) or 1
    return {
        (source, target): room[target] / total
        for source in REGIONS
        for target in REGIONS
    }


def simulate_server_loss(policy: Policy) -> Outcome:
    """Simulate the loss of most servers of a region.

    The policy sees measurements that lag by two steps.
    """
    outcome = Outcome()
    load: Mapping[str, float] = dict.fromkeys(REGIONS, _OFFERED_SLOTS)
    history = deque([_read(load, 0)], maxlen=_LAG_STEPS + 1)
    last_change = dict.fromkeys(REGIONS, _ZERO)
    for step in range(_STEPS):
        shares = policy(_delay_readings(history), step * STEP_S)
        loads, inflows = _distribute_load(shares)
        for region in REGIONS:
            change = loads[region] - load[region]
            if step > _LOSS_STEP and abs(change) > _SLOTS * _NOTICEABLE_SHARE:
                outcome.settle_steps = step - _LOSS_STEP
                outcome.reversals += change * last_change[region] < 0
                last_change[region] = change
        outcome.overload += _measure_overload(loads, inflows, step) * STEP_S
        load = loads
        history.append(_read(load, step))
        outcome.served = _measure_served(loads, step)
    return outcome


def _distribute_load(
    shares: Shares,
) -> tuple[dict[str, float], dict[str, float]]:
    loads = dict.fromkeys(REGIONS, _ZERO)
    inflows = dict.fromkeys(REGIONS, _ZERO)
    for (source, target), share in shares.items():
        loads[target] += share * _OFFERED_SLOTS
        if source != target:
            inflows[target] += share * _OFFERED_SLOTS
    return loads, inflows


def _measure_overload(
    loads: Mapping[str, float],
    inflows: Mapping[str, float],
    step: int,
) -> float:
    """Return the excess of busy slots caused by load from other regions."""
    return sum(
        min(max(0, load - _count_slots(name, step)), inflows[name])
        for name, load in loads.items()
    )


def _measure_served(loads: Mapping[str, float], step: int) -> float:
    """Return the share of all load that is served."""
    served = sum(
        min(load, _count_slots(name, step)) for name, load in loads.items()
    )
    return served / (_OFFERED_SLOTS * len(REGIONS))


def _count_slots(region: str, step: int) -> int:
    has_lost_servers = region == REGIONS[0] and step >= _LOSS_STEP
    return _REMAINING_SLOTS if has_lost_servers else _SLOTS


def _read(load: Mapping[str, float], step: int) -> Readings:
    pools = {}
    for region in REGIONS:
        slots = _count_slots(region, step)
        busy = min(slots, load[region])
        pools['verify', region] = PoolLoad(slots, busy, _OFFERED_SLOTS)
    links = {(link.source, link.target): LinkLoad(0) for link in _LINKS}
    return Readings(pools, links)


def _delay_readings(history: 'deque[Readings]') -> Readings:
    """Return the oldest readings with their age."""
    oldest = history[0]
    age_s = (len(history) - 1) * STEP_S
    pools = {
        place: PoolLoad(load.slots, load.busy, load.offered, age_s=age_s)
        for place, load in oldest.pools.items()
    }
    links = {pair: LinkLoad(0, age_s) for pair in oldest.links}
    return Readings(pools, links)
