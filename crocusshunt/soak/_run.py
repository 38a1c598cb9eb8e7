"""One soak from its seed to its violations."""

import asyncio
import logging
import random
import time
from dataclasses import dataclass

from crocusshunt.logs import log_event
from crocusshunt.soak._callers import Callers
from crocusshunt.soak._checks import Terms, Violation, find_violations
from crocusshunt.soak._faults import inject_fault
from crocusshunt.soak._plan import PlannedFault, SoakSettings, plan_faults
from crocusshunt.soak._world import LIMITED, LIMITED_RATE, World

# After the last fault, until calls must be served again.
_RECOVERY_S = 4


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak found."""

    seed: int
    calls: int
    answered: int
    faults: tuple[PlannedFault, ...]
    violations: tuple[Violation, ...]


async def run_soak(settings: SoakSettings) -> SoakResult:
    """Run the hosts under the faults of a seed, and check the promises."""
    faults = plan_faults(settings)
    world = World(settings, random.Random(settings.seed))
    try:
        await world.start()
        started_at = time.monotonic()
        await _play(world, faults)
    finally:
        await world.stop()
    terms = Terms(
        limited=LIMITED,
        rate=LIMITED_RATE,
        burst=LIMITED_RATE,
        recovered_from=started_at + settings.calm_from_s + _RECOVERY_S,
    )
    records = world.records
    answered = sum(call.ending.value == 'answered' for call in records.calls)
    return SoakResult(
        settings.seed,
        len(records.calls),
        answered,
        faults,
        tuple(find_violations(records, terms)),
    )


async def _play(world: World, faults: tuple[PlannedFault, ...]) -> None:
    settings = world.settings
    callers = Callers(
        world.records,
        world.hosts,
        tuple(world.keys),
        random.Random(settings.seed),
    )
    async with asyncio.TaskGroup() as tasks:
        for planned in faults:
            tasks.create_task(_inject(world, planned))
        tasks.create_task(callers.run(settings.per_s, settings.seconds))


async def _inject(world: World, planned: PlannedFault) -> None:
    await asyncio.sleep(planned.at)
    log_event(
        'fault injected',
        logging.INFO,
        kind=planned.kind,
        for_s=round(planned.for_s, 2),
        place=round(planned.place, 3),
    )
    await inject_fault(world, planned)
