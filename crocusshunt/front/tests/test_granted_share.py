"""What hosts grant of a rate, against one bucket for all requests."""

import math
import random
from dataclasses import dataclass, field

import pytest

from crocusshunt.front.tests._region import RULE
from crocusshunt.front.tests.test_rate_onset import (
    _Caller,
    _create_simulation,
    _find_busiest_window,
    _Simulation,
)

_STEP_S = 0.01
_ONSET_S = 15
_STEADY_S = 20
_END_S = 35
_BEFORE_FACTOR = 0.5
_MAX_WAIT_S = 0.06
_WINDOW_S = 5
# Demand as a multiple of the rate.
_FACTORS = (0.7, 0.95, 1.5, 2, 5, 9)
_SEEDS = (1, 2, 3)
# The stated targets.
_MIN_STEADY_SHARE = 0.99
_MIN_ONSET_SHARE = 0.97


@dataclass(slots=True)
class _IdealBucket:
    """One bucket that all hosts take from at no cost."""

    tokens: float = RULE.burst

    def refill(self, seconds: float) -> None:
        self.tokens = min(RULE.burst, self.tokens + RULE.rate * seconds)

    def take(self) -> bool:
        """Take a token, also one that comes within the longest wait."""
        if self.tokens - 1 < -_MAX_WAIT_S * RULE.rate:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class _Play:
    """Random arrivals at hosts, and at one bucket.

    :param granted: number for each step, by the hosts.
    :param due: number for each step, by the bucket.
    """

    simulation: _Simulation
    random_source: random.Random
    bucket: _IdealBucket = field(default_factory=_IdealBucket)
    granted: list[int] = field(default_factory=list)
    due: list[int] = field(default_factory=list)

    def run(self, factor: float) -> None:
        clock = self.simulation.clock
        while clock.monotonic() < _END_S:
            clock.advance(_STEP_S)
            now = clock.monotonic()
            self.bucket.refill(_STEP_S)
            self.granted.append(0)
            self.due.append(0)
            demand = RULE.rate * factor
            if now < _ONSET_S:
                demand = RULE.rate * _BEFORE_FACTOR
            for caller in self.simulation.callers:
                if now >= caller.heartbeat_at:
                    caller.heartbeat_at += 1
                    caller.host.run_once()
                self._arrive(caller, demand, now)

    def find_share(self, start: float, end: float) -> float:
        """Return what the hosts granted of what was due."""
        steps = slice(round(start / _STEP_S), round(end / _STEP_S))
        return sum(self.granted[steps]) / sum(self.due[steps])

    def _arrive(self, caller: _Caller, demand: float, now: float) -> None:
        limits = caller.host.tokens.limits
        for _ in range(self._draw_count(demand * caller.weight * _STEP_S)):
            limits.demand.count(RULE.name, now)
            limits.refresh(RULE.name, now)
            grant = limits.customers.take(RULE.name, now, _MAX_WAIT_S)
            self.granted[-1] += grant.is_granted
            self.due[-1] += self.bucket.take()

    def _draw_count(self, mean: float) -> int:
        """Return a number of Poisson's distribution."""
        least = math.exp(-mean)
        product = self.random_source.random()
        count = 0
        while product > least:
            product *= self.random_source.random()
            count += 1
        return count


def _play(factor: float, seed: int) -> _Play:
    play = _Play(_create_simulation(seed), random.Random(seed))
    play.run(factor)
    return play


@pytest.mark.parametrize('factor', _FACTORS)
def test_random_arrivals_get_no_more_than_the_rate(factor: float) -> None:
    allowed = RULE.rate * _WINDOW_S + RULE.burst
    for seed in _SEEDS:
        assert _find_busiest_window(_play(factor, seed).granted) <= allowed


def test_steady_random_arrivals_get_the_rate() -> None:
    """Parts of it lay idle at some hosts while others refused."""
    shares = {
        (factor, seed): _play(factor, seed).find_share(_STEADY_S, _END_S)
        for factor in _FACTORS
        for seed in _SEEDS
    }
    assert min(shares.values()) >= _MIN_STEADY_SHARE, shares


def test_rise_of_random_arrivals_gets_the_rate() -> None:
    """Parts grew too late at the hosts that the rise came to."""
    shares = {
        (factor, seed): _play(factor, seed).find_share(_ONSET_S, _STEADY_S)
        for factor in _FACTORS
        for seed in _SEEDS
    }
    assert min(shares.values()) >= _MIN_ONSET_SHARE, shares
