"""Shares of a rate: what all hosts together may admit."""

from hypothesis import given
from hypothesis import strategies as st

from crocusshunt.sharing import (
    CustomerLimiter,
    GroupDemand,
    RetryLimit,
    RetryLimiter,
    divide_rate,
)

_TOLERANCE = 1e-6
_RATES = st.floats(0, 1000)
_DEMANDS = st.dictionaries(
    st.text('abcdef', min_size=1, max_size=3),
    _RATES,
    min_size=1,
    max_size=12,
)


_TOTALS = st.floats(0.1, 1000)


@given(_DEMANDS, _TOTALS)
def test_shares_add_up_to_the_rate(
    demand: dict[str, float],
    total: float,
) -> None:
    known = {name: GroupDemand(rate) for name, rate in demand.items()}
    shares = divide_rate(total, known)
    assert abs(sum(shares.values()) - total) < _TOLERANCE * total
    assert min(shares.values()) >= 0


@given(_DEMANDS, _TOTALS, st.sets(st.text('abcdef', max_size=2)))
def test_shares_never_exceed_the_rate_during_a_network_partition(
    demand: dict[str, float],
    total: float,
    partitioned: set[str],
) -> None:
    """Two sets of hosts that get no messages of each other share one rate."""
    partitions = (demand.keys() & partitioned, demand.keys() - partitioned)
    admitted: float = 0
    for partition in partitions:
        known = {name: GroupDemand(demand[name]) for name in partition}
        silent = GroupDemand(None, len(demand) - len(partition))
        shares = divide_rate(total, {**known, 'silent': silent})
        admitted += sum(shares[name] for name in partition)
    assert admitted <= total * (1 + _TOLERANCE)


@given(st.dictionaries(st.sampled_from('abc'), _DEMANDS, min_size=1), _TOTALS)
def test_shares_by_region_and_host_add_up_to_the_rate(
    regions: dict[str, dict[str, float]],
    total: float,
) -> None:
    """Each host divides by regions first, then within its own region."""
    groups = {
        region: GroupDemand(sum(hosts.values()), len(hosts))
        for region, hosts in regions.items()
    }
    admitted: float = 0
    for region, hosts in regions.items():
        region_share = divide_rate(total, groups)[region]
        known = {name: GroupDemand(rate) for name, rate in hosts.items()}
        admitted += sum(divide_rate(region_share, known).values())
    assert abs(admitted - total) < _TOLERANCE * total


@given(_DEMANDS, _TOTALS)
def test_demand_up_to_the_equal_share_is_granted(
    demand: dict[str, float],
    total: float,
) -> None:
    known = {name: GroupDemand(rate) for name, rate in demand.items()}
    shares = divide_rate(total, known)
    equal_share = total / len(known)
    for name, rate in demand.items():
        assert shares[name] >= min(rate, equal_share) * (1 - _TOLERANCE)


def test_larger_share_adds_no_tokens_at_once() -> None:
    limiter = CustomerLimiter()
    limiter.resize('court', rate=1, burst=1, now=0)
    limiter.resize('court', rate=10, burst=50, now=0)
    assert not limiter.take('court', now=0).is_granted
    limiter.resize('court', rate=10, burst=50, now=10)
    limiter.resize('court', rate=1, burst=1, now=10)
    taken = [limiter.take('court', now=10).is_granted for _ in range(5)]
    assert taken.count(True) == 1


def test_customer_over_its_rate_gets_all_of_it_without_waits() -> None:
    limiter = CustomerLimiter()
    limiter.resize('court', rate=10, burst=1, now=0)
    limiter.set_over_rate('court', is_over_rate=True)
    grants = [
        limiter.take('court', step / 100, max_wait_s=1) for step in range(1000)
    ]
    granted = [one for one in grants if one.is_granted]
    assert 95 <= len(granted) <= 101
    assert not any(one.wait_s for one in granted)


def test_customer_within_its_rate_waits_instead_of_being_refused() -> None:
    limiter = CustomerLimiter()
    limiter.resize('court', rate=2, burst=1, now=0)
    pairs = [limiter.take('court', 5, max_wait_s=0.6) for _ in range(2)]
    assert [one.is_granted for one in pairs] == [True, True]
    assert 0 < pairs[1].wait_s <= 0.5


@given(st.integers(1, 30), st.lists(st.integers(0, 29), max_size=300))
def test_retries_of_all_hosts_stay_within_the_limit(
    hosts: int,
    failing: list[int],
) -> None:
    limit = RetryLimit(ratio=0.2, extra=60, window_s=10)
    limiters = [RetryLimiter(limit) for _ in range(hosts)]
    retries = 0
    for step, host_index in enumerate(failing):
        limiter = limiters[host_index % hosts]
        now = step * 0.01
        limiter.divide(hosts, now)
        limiter.note_request('verify', now)
        retries += limiter.spend('verify', now) + limiter.spend('verify', now)
    assert retries <= limit.ratio * len(failing) + limit.extra
