"""Failures of the store, of messages and of hosts while tokens are lent."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from itertools import combinations
from typing import Any

import pytest

from crocusshunt.bench._simulation import (
    Faults,
    Layout,
    LimitFleet,
    Load,
    Tally,
    count_overshoot,
    create_arrivals,
    send_requests,
    simulate,
)
from crocusshunt.limits import find_shard
from crocusshunt.routing import Customer

_HOSTS = 7
_DRIFT = 0.0005
_CUSTOMER = Customer('cellar', rate=5, burst=6)
_SHARD = find_shard(_CUSTOMER.name)
_FAULT_AT_S = 12
_DURATION_S = 36
_SAMPLES = 144
_LOAD = Load(_CUSTOMER.name, per_s=12, duration_s=_DURATION_S)

Fault = Callable[[LimitFleet], Coroutine[Any, Any, None]]
_FAULTS: dict[str, Fault] = {}


def _register_fault(fault: Fault) -> Fault:
    _FAULTS[fault.__name__] = fault
    return fault


def _find_lender(fleet: LimitFleet) -> str:
    lenders = fleet.find_lenders(_SHARD)
    return lenders[0] if lenders else min(fleet.hosts)


@_register_fault
async def lose_answers(fleet: LimitFleet) -> None:
    fleet.platform.switches.lost_answers = 6


@_register_fault
async def slow_store(fleet: LimitFleet) -> None:
    fleet.platform.switches.delay_s = 4
    await asyncio.sleep(10)
    fleet.platform.switches.delay_s = 0


@_register_fault
async def stop_store(fleet: LimitFleet) -> None:
    fleet.platform.switches.is_down = True
    await asyncio.sleep(15)
    fleet.platform.switches.is_down = False


@_register_fault
async def start_message_faults(fleet: LimitFleet) -> None:
    """Lose, duplicate and delay messages."""
    fleet.network.faults = Faults(loss=0.1, duplication=0.2, jitter_s=0.3)


@_register_fault
async def pause_holder(fleet: LimitFleet) -> None:
    holder = _find_lender(fleet)
    fleet.pause(holder)
    await asyncio.sleep(3)
    fleet.remove_from_peers(holder)
    await asyncio.sleep(7)
    fleet.resume(holder)


@_register_fault
async def kill_holder(fleet: LimitFleet) -> None:
    holder = _find_lender(fleet)
    fleet.kill(holder)
    await asyncio.sleep(2)
    fleet.remove_from_peers(holder)


@_register_fault
async def restart_holder(fleet: LimitFleet) -> None:
    holder = _find_lender(fleet)
    fleet.kill(holder)
    await asyncio.sleep(0.5)
    fleet.start_host(holder, _DRIFT)


@_register_fault
async def stop_holder(fleet: LimitFleet) -> None:
    holder = _find_lender(fleet)
    await fleet.hosts[holder].lending.loans.release_all()
    fleet.remove_from_peers(holder)
    if holder in fleet.hosts:
        fleet.kill(holder)


@_register_fault
async def cut_region(fleet: LimitFleet) -> None:
    """Cut the holder's region off from all others for 13 seconds."""
    holder = _find_lender(fleet)
    region = fleet.layout.find_region(holder)
    cut = {
        one for one in fleet.hosts if fleet.layout.find_region(one) == region
    }
    fleet.network.partitions = dict.fromkeys(cut, 1)
    await asyncio.sleep(3)
    for name, host in fleet.hosts.items():
        unreachable = set(fleet.hosts) - cut if name in cut else cut
        for one in unreachable:
            host.peers.domains.pop(one, None)
    await asyncio.sleep(10)
    fleet.network.partitions = {}


@_register_fault
async def disagree_on_live_hosts(fleet: LimitFleet) -> None:
    """Let three hosts believe that the holder is gone."""
    holder = _find_lender(fleet)
    for name in ('h1', 'h3', 'h5'):
        host = fleet.hosts.get(name)
        if host is not None:
            host.peers.domains.pop(holder, None)


def _run(
    faults: tuple[Fault, ...],
    seed: int,
    load: Load = _LOAD,
) -> tuple[Tally, int]:
    arrivals = create_arrivals(load, _HOSTS, random.Random(seed))

    async def run_scenario() -> tuple[Tally, int]:
        fleet = LimitFleet(Layout(hosts=_HOSTS), (_CUSTOMER,), seed)
        fleet.start(_DRIFT)
        watch_task = asyncio.create_task(
            _count_most_lenders(fleet, load.duration_s)
        )
        load_task = asyncio.create_task(
            send_requests(fleet, load.customer, arrivals)
        )
        await asyncio.sleep(_FAULT_AT_S)
        for fault in faults:
            fault_task = asyncio.create_task(fault(fleet))
            await asyncio.sleep(1.5)
        await fault_task
        tally = await load_task
        most_lenders = await watch_task
        fleet.stop()
        return tally, most_lenders

    return simulate(run_scenario())


async def _count_most_lenders(fleet: LimitFleet, duration_s: float) -> int:
    most = 0
    for _ in range(_SAMPLES):
        await asyncio.sleep(duration_s / _SAMPLES)
        most = max(most, len(fleet.find_lenders(_SHARD)))
    return most


_SINGLE_FAULTS: list[tuple[str, ...]] = [(name,) for name in sorted(_FAULTS)]
_FAULT_PAIRS: list[tuple[str, ...]] = list(combinations(sorted(_FAULTS), 2))


@pytest.mark.parametrize('names', _SINGLE_FAULTS + _FAULT_PAIRS, ids='+'.join)
def test_faults_never_admit_more_than_the_limit(names: tuple[str, ...]) -> None:
    faults = tuple(_FAULTS[name] for name in names)
    tally, most_lenders = _run(faults, seed=len(names))
    assert most_lenders == 1
    assert not count_overshoot(_CUSTOMER, tally.admitted)


@pytest.mark.parametrize('name', sorted(_FAULTS))
def test_requests_are_admitted_again_after_a_fault(name: str) -> None:
    tally, _ = _run((_FAULTS[name],), seed=3)
    late = [at for at in tally.admitted if at > _DURATION_S - 6]
    assert len(late) > 0.8 * 6 * _CUSTOMER.rate


def test_store_outage_of_an_hour_refuses_nobody_within_the_rate() -> None:
    load = Load(_CUSTOMER.name, per_s=0.5, duration_s=3700)

    async def stop_for_an_hour(fleet: LimitFleet) -> None:
        fleet.platform.switches.is_down = True
        await asyncio.sleep(3600)
        fleet.platform.switches.is_down = False

    tally, _ = _run((stop_for_an_hour,), seed=4, load=load)
    assert not tally.refused
    assert not tally.unavailable


def test_paused_holder_is_replaced_by_one_host() -> None:
    async def run_scenario() -> tuple[list[str], list[str]]:
        fleet = LimitFleet(Layout(hosts=_HOSTS), (_CUSTOMER,), seed=5)
        fleet.start()
        await asyncio.sleep(5)
        holder = _find_lender(fleet)
        fleet.pause(holder)
        await asyncio.sleep(6)
        lenders_while_paused = fleet.find_lenders(_SHARD)
        fleet.remove_from_peers(holder)
        await asyncio.sleep(8)
        fleet.resume(holder)
        lenders_after = fleet.find_lenders(_SHARD)
        fleet.stop()
        return lenders_while_paused, [
            one for one in lenders_after if one != holder
        ]

    lenders_while_paused, lenders_after = simulate(run_scenario())
    assert not lenders_while_paused
    assert len(lenders_after) == 1


def test_planned_stop_hands_the_tokens_over() -> None:
    async def run_scenario() -> tuple[str, str, tuple[float, ...]]:
        fleet = LimitFleet(Layout(hosts=_HOSTS), (_CUSTOMER,), seed=6)
        fleet.start()
        await asyncio.sleep(20)
        before = _find_lender(fleet)
        await stop_holder(fleet)
        await asyncio.sleep(2)
        after = _find_lender(fleet)
        leases = fleet.hosts[after].lending.leases
        levels = leases.inherited_levels.get(_SHARD, ())
        fleet.stop()
        return before, after, tuple(level.tokens for level in levels)

    before, after, tokens = simulate(run_scenario())
    assert before != after
    assert tokens == (_CUSTOMER.burst,)
