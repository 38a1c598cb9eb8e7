"""Measurements of delivery: added latency, room, retries, stops."""

import asyncio
from collections.abc import Awaitable, Iterable, Iterator
from dataclasses import replace

from crocusshunt.bench._delivery_cost import measure_latency, measure_waiting
from crocusshunt.bench._delivery_load import (
    measure_amplification,
    measure_worst_customer,
)
from crocusshunt.bench._delivery_safety import (
    measure_double_runs,
    measure_stops,
)
from crocusshunt.bench._registry import Measurement, register_bench
from crocusshunt.bench._room import SLOT_SHARES, simulate_ideal, simulate_room
from crocusshunt.bench._room_values import RoomWorkload
from crocusshunt.delivery import list_selection_policies
from crocusshunt.services import create_loop

_SEED = 5


@register_bench('delivery')
def measure_delivery() -> Iterable[Measurement]:
    """Measure every promise of delivery that has a figure."""
    yield from _run(measure_latency())
    yield from _measure_room()
    yield from _run(measure_amplification())
    yield from _run(measure_worst_customer())
    yield from _run(measure_stops())
    yield from _run(measure_double_runs())
    yield from _run(measure_waiting())


def _run(
    measured: Awaitable[list[Measurement]],
) -> list[Measurement]:
    async def run() -> list[Measurement]:
        return await measured

    with asyncio.Runner(loop_factory=create_loop) as runner:
        return runner.run(run())


def _measure_room() -> Iterator[Measurement]:
    workload = RoomWorkload(seed=_SEED)
    ideal = simulate_ideal(workload)
    yield Measurement(
        'delivery.room.ideal.p99_wait',
        round(ideal.p99_wait_ms, 1),
        'ms',
        seed=_SEED,
    )
    adaptive = replace(workload, is_adaptive=True)
    ways = [
        *(
            (name, name, workload)
            for name in (*list_selection_policies(), SLOT_SHARES)
        ),
        *(
            (f'{name}-adaptive', name, adaptive)
            for name in list_selection_policies()
        ),
    ]
    for name, choice, offered in ways:
        seen = simulate_room(offered, choice)
        yield Measurement(
            f'delivery.room.{name}.p99_wait',
            round(seen.p99_wait_ms, 1),
            'ms',
            target=round(ideal.p99_wait_ms * 1.5, 1),
            baseline=round(ideal.p99_wait_ms, 1),
            seed=_SEED,
        )
        yield Measurement(
            f'delivery.room.{name}.refused',
            round(seen.refused_share, 4),
            'share',
            baseline=round(ideal.refused_share, 4),
            seed=_SEED,
        )
        yield Measurement(
            f'delivery.room.{name}.sent_per_request',
            round(seen.sent_per_request, 3),
            'requests',
            seed=_SEED,
        )
