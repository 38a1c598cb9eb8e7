"""Simulation of small rates whose requests arrive at random hosts."""

import random

import pytest

from crocusshunt.sharing import TokenBucket, choose_keeper

_REGIONS = 3
_HOSTS_PER_REGION = 22
_UTILIZATION = 0.6
_START_S = 10
_END_S = 120
_MAX_WAIT_S = 0.18


def _simulate_refusals(rate: float, buckets: int, seed: int) -> float:
    """Return the share of requests refused although within the rate."""
    random_source = random.Random(seed)
    rate_per_bucket = rate / buckets
    token_buckets = [
        TokenBucket(rate_per_bucket, rate_per_bucket, 0)
        for _bucket in range(buckets)
    ]
    refused = []
    now: float = 0
    while now < _END_S:
        now += random_source.expovariate(rate * _UTILIZATION)
        grant = random_source.choice(token_buckets).take(now, _MAX_WAIT_S)
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
def test_customer_within_its_rate_is_rarely_refused(rate: float) -> None:
    """At most 1.2 times the share that a single bucket refuses, plus 0.005."""
    ideal = _simulate_refusals(rate, 1, seed=5)
    assert (
        _simulate_refusals(rate, _count_buckets(rate), seed=5)
        <= 1.2 * ideal + 0.005
    )


def test_all_hosts_of_a_region_choose_the_same_keeper() -> None:
    names = ('h1', 'h2', 'h3')
    chosen = {
        choose_keeper('court', 1, 10, order)
        for order in (names, ('h3', 'h2', 'h1'), ('h2', 'h1', 'h3'))
    }
    assert len(chosen) == 1
    remaining = [name for name in names if name not in chosen]
    assert choose_keeper('court', 1, 10, remaining) in remaining


def test_without_ready_hosts_there_is_no_keeper() -> None:
    assert not choose_keeper('court', 1, 10, ())
