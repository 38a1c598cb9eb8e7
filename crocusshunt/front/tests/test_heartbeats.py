"""Heartbeats between hosts, and what follows from them."""

from collections.abc import Iterable
from itertools import pairwise
from unittest.mock import Mock

from crocusshunt.core import ManualClock
from crocusshunt.fleet import encode
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front.tests._region import RULE, Region, create_record


def _list_heard(heartbeat_loop: HeartbeatLoop, now: float) -> Iterable[str]:
    heard = heartbeat_loop.cluster.fleet.list_live(now)
    return [peer.record.name for peer in heard]


def _advance(region: Region, seconds: float) -> None:
    assert isinstance(region.clock, ManualClock)
    region.clock.advance(seconds)


def test_started_host_and_its_peers_discover_each_other_at_once() -> None:
    region = Region()
    first = region.start('a1')
    second = region.start('a2')
    now = region.clock.monotonic()
    assert _list_heard(first, now) == ['a2']
    assert _list_heard(second, now) == ['a1']


def test_rates_are_divided_again_soon_after_a_host_started() -> None:
    clock = ManualClock()
    region = Region(clock=clock)
    first = region.start('a1')
    second = region.start('a2')
    clock.advance(0.3)
    first.tokens.limits.demand.count('court', 0.3, amount=600)
    first.run_once()
    second._check_for_changes()
    shares = []
    for one in (first, second):
        one.tokens.limits.refresh('court', clock.monotonic())
        shares.append(one.tokens.limits.customers.rates['court'])
    assert sum(shares) <= RULE.rate + 1e-6
    assert shares[0] > shares[1]


def test_readiness_is_announced_before_the_next_heartbeat() -> None:
    region = Region()
    first = region.start('a1')
    second = region.start('a2')
    second.readiness = Mock(is_ready=False)
    second._check_for_changes()
    assert not first.cluster.fleet.list_ready(region.clock.monotonic())
    second.readiness = Mock(is_ready=True)
    second._check_for_changes()
    ready = first.cluster.fleet.list_ready(region.clock.monotonic())
    assert [record.name for record in ready] == ['a2']


def test_load_of_a_full_server_reaches_the_other_hosts() -> None:
    region = Region()
    first = region.start('a1')
    second = region.start('a2')
    first.planner.state.full_servers['s1'] = 20
    first.run_once()
    now = region.clock.monotonic()
    assert second.planner.state.find_load('s1').estimate(now) == 20
    assert not first.planner.state.full_servers


def test_full_region_serves_fewer_objects_until_it_has_room() -> None:
    region = Region()
    heartbeat_loop = region.start('a1')
    planner = heartbeat_loop.planner
    shares = []
    for second in range(12):
        _advance(region, 1)
        now = region.clock.monotonic()
        for name in ('s0', 's1'):
            load = planner.state.find_load(name)
            load.in_flight = 4 if second < 6 else 1
        planner.plan(now)
        shares.append(planner.state.localities['p'].local_share)
    assert shares[5] < shares[0]
    assert shares[11] > shares[6]
    steps = [abs(two - one) for one, two in zip(shares, shares[1:])]
    assert max(steps) <= 0.06


def test_state_of_removed_servers_is_dropped() -> None:
    region = Region()
    heartbeat_loop = region.start('a1')
    state = heartbeat_loop.planner.state
    for name in ('s0', 's1'):
        state.find_load(name)
        state.recent_objects.note(name, 'o1')
    heartbeat_loop.cluster.servers.remove('s1')
    heartbeat_loop.run_once()
    assert 's0' in state.loads
    assert 's1' not in state.loads
    assert not state.recent_objects.is_recent('s1', 'o1')


def test_undecodable_datagrams_are_ignored() -> None:
    region = Region()
    heartbeat_loop = region.start('a1')
    receiver = MessageReceiver(heartbeat_loop)
    receiver.receive(b'garbage')
    receiver.receive(encode(create_record('a2')))
    assert not list(_list_heard(heartbeat_loop, region.clock.monotonic()))


def test_emptied_domain_is_followed_at_once_and_traffic_in_steps() -> None:
    region = Region()
    heartbeat_loop = region.start('a1')
    planner = heartbeat_loop.planner
    shares = []
    for second in range(6):
        planner.state.offered.note('p', 6, region.clock.monotonic())
        _advance(region, 1)
        if second == 3:
            planner.cluster.servers.remove('s0')
        planner.plan(region.clock.monotonic())
        shares.append(planner.state.localities['p'].local_share)
    steps = [before - after for before, after in pairwise(shares)]
    assert max(steps[0], steps[1], steps[3], steps[4]) <= 0.04 + 1e-9
    assert steps[2] > 0.1


def _find_unknown_s(loop: HeartbeatLoop) -> float:
    """Return how long parts may be lent by a former start, in seconds."""
    limits = loop.tokens.limits
    return limits.given.remaining_s('court', limits.clock.boottime())


def test_all_hosts_that_start_again_use_their_parts_soon() -> None:
    """Each refused the customers of its region for 3.5 s, as if it had lent."""
    region = Region(names=('a1', 'a2', 'a3'))
    loops = [region.start(name) for name in region.names]
    for loop in loops:
        loop.tokens.limits.assume_lent()
    assert _find_unknown_s(loops[0]) > 3
    for started in loops:
        started.run_once()
    assert not any(map(_find_unknown_s, loops))


def test_host_waits_for_a_host_that_may_have_its_former_leases() -> None:
    region = Region(names=('a1', 'a2', 'a3'))
    loop, _other = (region.start(name) for name in ('a1', 'a2'))
    loop.tokens.limits.assume_lent()
    loop.run_once()
    assert _find_unknown_s(loop) > 3


def test_hosts_that_wait_for_each_other_send_few_replies() -> None:
    region = Region(names=('a1', 'a2'))
    loops = [region.start(name) for name in region.names]
    for loop in loops:
        loop.tokens.limits.assume_lent()
    before = loops[1]._sequence
    loops[0].run_once()
    assert loops[1]._sequence - before == 1
