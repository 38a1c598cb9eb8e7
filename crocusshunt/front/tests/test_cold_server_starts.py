"""Requests to a cold server while the hosts that may send them start anew."""

from bisect import bisect_left
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.fleet import FleetSettings, FleetView
from crocusshunt.front._cold_servers import ColdServers
from crocusshunt.front.tests._region import create_record
from crocusshunt.sharing import MinIntervalLimiter

_HOSTS = tuple(f'a{number}' for number in range(5))
_STEP_S = 0.02
# Below what a process needs to start.
_START_S = 0.3
# The users' bound on requests in one second: a share of the rate, and more.
_EXCESS_FACTOR = 1.5
_SLACK_COUNT = 5


def _create_host(name: str, rate: float, now: float) -> ColdServers:
    """Return what a host that just started sends cold servers by."""
    fleet = FleetView(create_record(name), FleetSettings())
    for other in _HOSTS:
        fleet.put(create_record(other))
    eligible = Mock(
        cluster=Mock(
            fleet=fleet,
            health=Mock(
                is_returning=Mock(return_value=False),
                is_ejected=Mock(return_value=False),
            ),
            index=Mock(find_pool=Mock(return_value=Mock(cold_rate=rate))),
        ),
        state=Mock(cold_limiter=MinIntervalLimiter(started_at=now)),
        is_warm=Mock(return_value=False),
    )
    return ColdServers(eligible)


def _count_fullest_second(times: list[float]) -> int:
    return max(
        (bisect_left(times, at + 1) - first for first, at in enumerate(times)),
        default=0,
    )


@pytest.mark.parametrize('rate', [0.5, 1, 4, 16])
@given(st.lists(st.sampled_from((0, 0.3, 0.35, 0.5, 1.1)), min_size=5))
@settings(deadline=None, max_examples=20)
def test_hosts_that_start_again_keep_the_pace_of_a_cold_server(
    rate: float, pauses_s: list[float]
) -> None:
    """Each start forgets when the former process sent the last request."""
    server = Mock(entry=Mock())
    server.entry.name = 's1'
    now: float = 0
    hosts = {name: _create_host(name, rate, now) for name in _HOSTS}
    sent: list[float] = []
    for pause_s in pauses_s:
        until = now + _START_S + pause_s
        while now < until:
            for host in hosts.values():
                if host.may_try(server, Mock(), now):
                    sent.append(now)
            now += _STEP_S
        hosts = {name: _create_host(name, rate, now) for name in _HOSTS}
    allowed = _EXCESS_FACTOR * rate + _SLACK_COUNT
    assert _count_fullest_second(sent) <= allowed
