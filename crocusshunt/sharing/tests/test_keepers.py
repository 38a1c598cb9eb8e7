"""Small rates over many hosts: replay of callers that come at any host."""

import random

import pytest

from crocusshunt.sharing import TokenBucket, choose_keeper

_REGIONS = 3
_HOSTS_PER_REGION = 22
_USE = 0.6
_START_S = 10
_END_S = 120
_PATIENCE_S = 0.18


def _replay(rate: float, buckets: int, seed: int) -> float:
    """Return the share of requests refused although within the rate."""
    draw = random.Random(seed)
    part = rate / buckets
    kept = [TokenBucket(part, part, 0) for _bucket in range(buckets)]
    refused = []
    now: float = 0
    while now < _END_S:
        now += draw.expovariate(rate * _USE)
        grant = draw.choice(kept).take(now, _PATIENCE_S)
        if now > _START_S:
            refused.append(not grant.is_granted)
    return sum(refused) / len(refused)


def _count_buckets(rate: float) -> int:
    names = [f'h{number}' for number in range(_HOSTS_PER_REGION)]
    hosts = _REGIONS * _HOSTS_PER_REGION
    if choose_keeper('court', rate, hosts, names):
        return _REGIONS
    return hosts


@pytest.mark.parametrize('rate', [20, 50, 100, 300])
def test_customer_within_its_rate_is_hardly_refused(rate: float) -> None:
    """At most 1.2 times what one bucket for all refuses, and 0.5 points."""
    ideal = _replay(rate, 1, seed=5)
    assert _replay(rate, _count_buckets(rate), seed=5) <= 1.2 * ideal + 0.005


def test_all_hosts_of_a_region_choose_the_same_keeper() -> None:
    names = ('h1', 'h2', 'h3')
    found = {
        choose_keeper('court', 1, 10, order)
        for order in (names, ('h3', 'h2', 'h1'), ('h2', 'h1', 'h3'))
    }
    assert len(found) == 1
    left = [name for name in names if name not in found]
    assert choose_keeper('court', 1, 10, left) in left


def test_without_ready_hosts_each_keeps_its_own() -> None:
    assert not choose_keeper('court', 1, 10, ())
