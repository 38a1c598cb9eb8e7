"""Benchmarks of the customers' rate limits."""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any

from crocusshunt.bench._registry import Measurement, register_bench
from crocusshunt.bench._simulation import (
    Arrival,
    Layout,
    LimitFleet,
    Load,
    Tally,
    count_overshoot,
    create_arrivals,
    send_requests,
    simulate,
)
from crocusshunt.core import ManualClock
from crocusshunt.limits import (
    AdmissionQueue,
    AdmissionVerdict,
    BorrowSettings,
    HomeLedger,
    LendingTerm,
    LoanRequest,
    find_shard,
)
from crocusshunt.routing import Customer

_SEED = 11
_HOSTS = 10
_RATE = 20
_LOAD_RATIO = 0.9
_DURATION_S = 240
_PATIENCE_S = 0.5
_BURSTS = (10, 40, 200)
_DECISIONS = 200_000
_ACCOUNTS = 2000
_PERCENT = 100

FaultInjector = Callable[[LimitFleet], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class _Scenario:
    layout: Layout
    loads: tuple[tuple[Customer, float], ...]
    inject_fault: FaultInjector | None = None


@dataclass(frozen=True, slots=True)
class _Outcome:
    tallies: dict[str, Tally]
    arrivals: dict[str, tuple[Arrival, ...]]
    messages: int
    message_bytes: int


_NEAR_REGIONS = Layout(_HOSTS)
_DISTANT_REGIONS = Layout(
    _HOSTS,
    ('addis', 'dire', 'bahir'),
    region_delay_s=0.055,
    queue=BorrowSettings(ahead_s=0.3),
)


async def _kill_home(fleet: LimitFleet) -> None:
    await asyncio.sleep(60)
    lenders = fleet.find_lenders(find_shard('cellar'))
    fleet.kill(lenders[0])
    await asyncio.sleep(2)
    fleet.remove_from_peers(lenders[0])


async def _stop_store(fleet: LimitFleet) -> None:
    await asyncio.sleep(6)
    fleet.platform.switches.is_down = True


_FAULTS: dict[str, FaultInjector | None] = {
    'normal': None,
    'dead_host': _kill_home,
    'store_down': _stop_store,
}


@register_bench('limit')
def measure_limits() -> Iterator[Measurement]:
    """Measure refusals, overshoot, fairness, speed, memory and traffic."""
    yield from _measure_refusals('trosarina', _NEAR_REGIONS)
    yield from _measure_refusals('abay', _DISTANT_REGIONS)
    yield from _measure_worst_customer()
    yield _measure_decisions()
    yield _measure_memory()
    yield from _measure_messages()


def _measure_refusals(
    scenario_name: str, layout: Layout
) -> Iterator[Measurement]:
    overshoot = 0
    for burst in _BURSTS:
        customer = Customer('cellar', _RATE, burst)
        for condition, inject_fault in _FAULTS.items():
            load = (customer, _RATE * _LOAD_RATIO)
            outcome = _run(_Scenario(layout, (load,), inject_fault))
            tally = outcome.tallies[customer.name]
            arrivals = outcome.arrivals[customer.name]
            overshoot += count_overshoot(customer, tally.admitted)
            name = f'{scenario_name}.{condition}.burst_{burst}'
            ideal = _compute_central_refusals(customer, arrivals)
            yield Measurement(
                f'limit.wrongful_refusals.{name}',
                round(tally.measure_refusals(), 3),
                '%',
                target=round(1.2 * ideal + 0.5, 3),
                baseline=round(_compute_split_refusals(customer, arrivals), 3),
                seed=_SEED,
            )
            if condition == 'normal':
                yield _measure_wait(name, tally)
    yield Measurement(
        f'limit.overshoot.{scenario_name}',
        overshoot,
        'requests',
        target=0,
        seed=_SEED,
    )


def _measure_wait(name: str, tally: Tally) -> Measurement:
    waits = sorted(tally.waits)
    p99_s = waits[len(waits) * 99 // _PERCENT]
    return Measurement(
        f'limit.wait_p99.{name}',
        round(p99_s * 1000, 1),
        'ms',
        seed=_SEED,
    )


def _measure_worst_customer() -> Iterator[Measurement]:
    greedy = Customer('lager', _RATE, 40)
    modest_customers = tuple(
        Customer(f'cellar-{one}', 5, 10) for one in range(3)
    )
    modest_loads = tuple((one, one.rate * 0.5) for one in modest_customers)
    alone = _run(_Scenario(_NEAR_REGIONS, modest_loads))
    together = _run(
        _Scenario(_NEAR_REGIONS, (*modest_loads, (greedy, _RATE * 5)))
    )
    names = [one.name for one in modest_customers]
    yield Measurement(
        'limit.worst_customer',
        max(together.tallies[one].measure_refusals() for one in names),
        '% refused of a customer within its rate, beside one at 5x',
        target=max(alone.tallies[one].measure_refusals() for one in names),
        seed=_SEED,
    )
    yield Measurement(
        'limit.overshoot.greedy',
        count_overshoot(greedy, together.tallies[greedy.name].admitted),
        'requests',
        target=0,
        seed=_SEED,
    )


def _measure_decisions() -> Measurement:
    clock = ManualClock()
    ledger = HomeLedger(clock)
    customer = Customer('cellar', 1_000_000, 1_000_000)
    queue = AdmissionQueue(BorrowSettings(ahead_s=0.1), customer.rate)
    term = LendingTerm(1, 0)
    started_at = time.process_time()
    for ticket in range(_DECISIONS):
        clock.advance(0.0001)
        now = clock.monotonic()
        if queue.arrive(ticket, now, 1) is not AdmissionVerdict.admitted:
            request = queue.plan(f'{ticket}', now)
            if request is not None:
                queue.receive(ledger.lend(customer, request, term), now)
    spent_s = time.process_time() - started_at
    return Measurement(
        'limit.decisions',
        round(_DECISIONS / spent_s),
        'decisions/s a core, without messages',
        seed=_SEED,
    )


def _measure_memory() -> Measurement:
    ledger = HomeLedger(ManualClock())
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(_ACCOUNTS):
        customer = Customer(f'customer-{number}', _RATE, 40)
        ledger.lend(customer, LoanRequest('one', 1), LendingTerm(1, 0))
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return Measurement(
        'limit.home_bytes',
        round(growth / _ACCOUNTS),
        'bytes a customer at its home',
        seed=_SEED,
    )


def _measure_messages() -> Iterator[Measurement]:
    customer = Customer('cellar', _RATE * 4, 200)
    for per_s in (1, _RATE, _RATE * 3):
        outcome = _run(_Scenario(_NEAR_REGIONS, ((customer, per_s),)))
        yield Measurement(
            f'limit.messages.at_{per_s}_per_s',
            round(outcome.messages / _DURATION_S, 2),
            'messages/s between hosts, 10 hosts, one customer',
            seed=_SEED,
        )
        yield Measurement(
            f'limit.bytes.at_{per_s}_per_s',
            round(outcome.message_bytes / _DURATION_S / _HOSTS, 1),
            'bytes/s a host',
            seed=_SEED,
        )


def _run(scenario: _Scenario) -> _Outcome:
    source = random.Random(_SEED)
    arrivals = {
        customer.name: create_arrivals(
            Load(customer.name, per_s, _DURATION_S),
            _HOSTS,
            source,
        )
        for customer, per_s in scenario.loads
    }
    return simulate(_run_scenario(scenario, arrivals))


async def _run_scenario(
    scenario: _Scenario,
    arrivals: dict[str, tuple[Arrival, ...]],
) -> _Outcome:
    customers = tuple(customer for customer, _ in scenario.loads)
    fleet = LimitFleet(scenario.layout, customers, _SEED)
    fleet.start()
    fault_task = (
        asyncio.create_task(scenario.inject_fault(fleet))
        if scenario.inject_fault
        else None
    )
    tallies = await asyncio.gather(
        *(send_requests(fleet, name, sent) for name, sent in arrivals.items()),
    )
    if fault_task is not None:
        await fault_task
    fleet.stop()
    return _Outcome(
        dict(zip(arrivals, tallies, strict=True)),
        arrivals,
        fleet.network.sent.total(),
        fleet.network.sent_bytes.total(),
    )


def _compute_central_refusals(
    customer: Customer,
    arrivals: tuple[Arrival, ...],
    share: float = 1,
) -> float:
    """Return the percentage refused by one central bucket without a queue.

    :param share: part of the rate and of the burst that the bucket has.
    """
    level = customer.burst * share
    previous: float = 0
    refused = 0
    for arrival in arrivals:
        gained = (arrival.at - previous) * customer.rate * share
        level = min(customer.burst * share, level + gained)
        previous = arrival.at
        if level < 1:
            refused += 1
        else:
            level -= 1
    return _PERCENT * refused / max(1, len(arrivals))


def _compute_split_refusals(
    customer: Customer,
    arrivals: tuple[Arrival, ...],
) -> float:
    refused: float = 0
    for host in range(_HOSTS):
        own_arrivals = tuple(one for one in arrivals if one.host == host)
        share = 1 / _HOSTS
        refused += _compute_central_refusals(
            customer, own_arrivals, share
        ) * len(own_arrivals)
    return refused / max(1, len(arrivals))
