"""Simulation of a customer whose demand rises at all hosts at once."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from crocusshunt.core import ManualClock
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front.tests._region import RULE, Region

_REGIONS = ('a', 'b', 'c')
_HOSTS_PER_REGION = 3
_ONSET_S = 15
_END_S = 28
_STEP_S = 0.01
_HEARTBEAT_S = 1
_WINDOW_S = 5
_MAX_WAIT_S = 0.06


@dataclass(slots=True)
class _Caller:
    """Callers of one host.

    :param weight: part of the customer's demand that reaches this host.
    :param heartbeat_at: when its next heartbeat is due, in seconds.
    """

    host: HeartbeatLoop
    weight: float
    heartbeat_at: float
    is_due: float = 0

    def count_granted(self, demand: float, now: float) -> int:
        """Request tokens for one step of time; count those granted."""
        limits = self.host.tokens.limits
        self.is_due += demand * self.weight * _STEP_S
        granted = 0
        while self.is_due >= 1:
            self.is_due -= 1
            limits.demand.count(RULE.name, now)
            grant = limits.customers.take(RULE.name, now, _MAX_WAIT_S)
            granted += grant.is_granted
        return granted


@dataclass(slots=True)
class _Simulation:
    """Hosts of three regions that send heartbeats at moments of their own."""

    clock: ManualClock
    callers: list[_Caller] = field(default_factory=list)

    def run(self, before: float, after: float) -> Iterator[int]:
        """Yield the number of granted requests of each step.

        :param before: demand before the onset, in requests a second.
        :param after: demand since then, in requests a second.
        """
        now = self.clock.monotonic()
        while now < _END_S:
            self.clock.advance(_STEP_S)
            now = self.clock.monotonic()
            demand = before if now < _ONSET_S else after
            for caller in self.callers:
                if now >= caller.heartbeat_at:
                    caller.heartbeat_at += _HEARTBEAT_S
                    caller.host.run_once()
            yield sum(one.count_granted(demand, now) for one in self.callers)


def _create_simulation(seed: int) -> _Simulation:
    random_source = random.Random(seed)
    clock = ManualClock()
    names = tuple(
        f'{region}{number}'
        for region in _REGIONS
        for number in range(_HOSTS_PER_REGION)
    )
    region = Region(names, clock)
    weights = [random_source.expovariate(1) + 0.05 for _name in names]
    simulation = _Simulation(clock)
    for name, weight in zip(names, weights, strict=True):
        host = region.start(name)
        share = weight / sum(weights)
        simulation.callers.append(
            _Caller(host, share, _HEARTBEAT_S * random_source.random()),
        )
    return simulation


def _find_busiest_window(granted: list[int]) -> int:
    steps = round(_WINDOW_S / _STEP_S)
    return max(
        sum(granted[start : start + steps])
        for start in range(len(granted) - steps + 1)
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    ('before', 'after'),
    [(0.5, 2), (0.1, 5), (0.95, 1.5)],
    ids=['double', 'many times', 'near the rate'],
)
def test_rise_at_all_hosts_grants_no_more_than_the_rate(
    before: float, after: float, seed: int
) -> None:
    """Each host took what the others did not seem to need yet.

    Demand is given as a multiple of the rate.
    """
    simulation = _create_simulation(seed)
    granted = list(simulation.run(before * RULE.rate, after * RULE.rate))
    allowed = RULE.rate * _WINDOW_S + RULE.burst
    assert _find_busiest_window(granted) <= allowed
    assert sum(granted[-round(_WINDOW_S / _STEP_S) :]) >= 0.9 * (
        RULE.rate * _WINDOW_S
    )
