"""Benchmarks of delivery: latency, server choice, retries and stops."""

import asyncio
from collections.abc import Awaitable, Iterable, Iterator
from dataclasses import replace

from crocusshunt.bench._delivery_cost import measure_latency, measure_waiting
from crocusshunt.bench._delivery_load import (
    measure_amplification,
    measure_worst_customer,
)
from crocusshunt.bench._delivery_safety import (
    measure_duplicate_runs,
    measure_cut_requests,
)
from crocusshunt.bench._registry import Measurement, register_bench
from crocusshunt.bench._slot_simulation import (
    SLOT_SHARES,
    simulate_shared_queue,
    simulate_slots,
)
from crocusshunt.bench._slot_workload import SlotWorkload
from crocusshunt.delivery import list_selection_policies
from crocusshunt.services import create_loop

_SEED = 5


@register_bench('delivery')
def measure_delivery() -> Iterable[Measurement]:
    """Measure latency, server choice, retries, fairness, stops and memory."""
    yield from _run(measure_latency())
    yield from _measure_slots()
    yield from _run(measure_amplification())
    yield from _run(measure_worst_customer())
    yield from _run(measure_cut_requests())
    yield from _run(measure_duplicate_runs())
    yield from _run(measure_waiting())


def _run(
    measured: Awaitable[list[Measurement]],
) -> list[Measurement]:
    async def run() -> list[Measurement]:
        return await measured

    with asyncio.Runner(loop_factory=create_loop) as runner:
        return runner.run(run())


def _measure_slots() -> Iterator[Measurement]:
    workload = SlotWorkload(seed=_SEED)
    ideal = simulate_shared_queue(workload)
    yield Measurement(
        'delivery.room.ideal.p99_wait',
        round(ideal.p99_wait_ms, 1),
        'ms',
        seed=_SEED,
    )
    adaptive = replace(workload, is_adaptive=True)
    variants = [
        *(
            (name, name, workload)
            for name in (*list_selection_policies(), SLOT_SHARES)
        ),
        *(
            (f'{name}-adaptive', name, adaptive)
            for name in list_selection_policies()
        ),
    ]
    for name, policy, offered in variants:
        report = simulate_slots(offered, policy)
        yield Measurement(
            f'delivery.room.{name}.p99_wait',
            round(report.p99_wait_ms, 1),
            'ms',
            target=round(ideal.p99_wait_ms * 1.5, 1),
            baseline=round(ideal.p99_wait_ms, 1),
            seed=_SEED,
        )
        yield Measurement(
            f'delivery.room.{name}.refused',
            round(report.refused_ratio, 4),
            'share',
            baseline=round(ideal.refused_ratio, 4),
            seed=_SEED,
        )
        yield Measurement(
            f'delivery.room.{name}.sent_per_request',
            round(report.sent_per_request, 3),
            'requests',
            seed=_SEED,
        )
