"""Offered load after a start under full traffic."""

import pytest

from crocusshunt.placement import OfferedLoad, RegionLoad, plan_locality

_SERVICE_S = 0.07
_ARRIVALS_PER_S = 170


def _offer(load: OfferedLoad, start_s: float, seconds: float) -> None:
    for number in range(round(seconds * _ARRIVALS_PER_S)):
        load.note('p', _SERVICE_S, start_s + number / _ARRIVALS_PER_S)


def test_crowded_region_is_known_within_a_second_of_a_start() -> None:
    """Two of twenty servers are here, and a third of the callers."""
    load = OfferedLoad()
    for second in range(10):
        load.measure(second)
    _offer(load, 10.4, 0.6)
    load.measure(11)
    demand = load.averages['p']
    assert demand == pytest.approx(_SERVICE_S * _ARRIVALS_PER_S, rel=0.05)
    loads = {
        'kzn': RegionLoad(8, demand),
        'gauteng': RegionLoad(32, 0),
        'westcape': RegionLoad(40, 0),
    }
    assert plan_locality('kzn', loads).local_share < 0.4


def test_average_follows_the_load_in_seconds() -> None:
    load = OfferedLoad()
    for second in range(10):
        _offer(load, second, 1)
        load.measure(second + 1)
    for second in range(10, 20):
        load.measure(second + 1)
    assert load.averages['p'] < 0.15 * _SERVICE_S * _ARRIVALS_PER_S


def test_too_short_sample_is_continued() -> None:
    load = OfferedLoad()
    _offer(load, 0.9, 0.1)
    load.measure(1)
    assert not load.averages
    _offer(load, 1, 1)
    load.measure(2)
    assert load.averages['p'] == pytest.approx(11.9, rel=0.05)


def test_load_of_a_customer_with_a_home_leaves_the_home_first() -> None:
    """A customer of all regions may be served in the smallest one only."""
    load = OfferedLoad()
    for number in range(100):
        now = number / 100
        load.note('p', 0.04, now)
        load.note('p', 0.03, now, frozenset(('kzn',)))
    load.measure(1)
    assert load.averages['p'] == pytest.approx(4, rel=0.05)
    pinned = load.pinned['kzn']['p']
    assert pinned == pytest.approx(3, rel=0.05)
    loads = {
        'kzn': RegionLoad(8, load.averages['p'], pinned),
        'gauteng': RegionLoad(32, 4),
    }
    plan = plan_locality('kzn', loads)
    assert plan.local_share < 0.3
    spare = plan_locality('gauteng', loads).spare
    assert spare is not None
    assert spare['kzn'] == 0


def test_load_that_no_region_may_serve_is_offered_to_none() -> None:
    """It counted as load that each region may serve."""
    load = OfferedLoad()
    load.note('p', _SERVICE_S, 0, frozenset())
    load.note('p', _SERVICE_S, 0, frozenset('a'))
    load.measure(1)
    assert not load.averages
    assert load.pinned == {'a': {'p': pytest.approx(_SERVICE_S)}}
