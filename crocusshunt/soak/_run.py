"""One soak test, from its seed to the violations found."""

import asyncio
import logging
import random
import time
from dataclasses import dataclass

from crocusshunt.logs import log_event
from crocusshunt.soak._check_registry import CheckLimits
from crocusshunt.soak._checks import Violation, find_violations
from crocusshunt.soak._load import LoadGenerator
from crocusshunt.soak._plan import PlannedFault, SoakSettings, plan_faults
from crocusshunt.soak._registry import inject_fault
from crocusshunt.soak._system import LIMITED_CUSTOMER, LIMITED_RATE, SoakSystem

# Time after the last fault from which calls must be answered again.
_RECOVERY_S = 4
# How long calls are sent after that.
_RECOVERED_S = 3


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak test, printed as a JSON line.

    :param calls: number of calls.
    :param answered: number of calls that got their whole response.
    """

    seed: int
    calls: int
    answered: int
    faults: tuple[PlannedFault, ...]
    violations: tuple[Violation, ...]


async def run_soak(settings: SoakSettings) -> SoakResult:
    """Run hosts under the faults of a seed, and check the guarantees."""
    faults = plan_faults(settings)
    system = SoakSystem(settings, random.Random(settings.seed))
    try:
        await system.start()
        faults_ended_at = await _run_load_and_faults(system, faults)
    finally:
        await system.stop()
    limits = CheckLimits(
        limited_customer=LIMITED_CUSTOMER,
        rate=LIMITED_RATE,
        burst=LIMITED_RATE,
        recovery_from=faults_ended_at + _RECOVERY_S,
    )
    records = system.records
    answered = sum(call.outcome.value == 'answered' for call in records.calls)
    return SoakResult(
        settings.seed,
        len(records.calls),
        answered,
        faults,
        tuple(find_violations(records, limits)),
    )


async def _run_load_and_faults(
    system: SoakSystem, faults: tuple[PlannedFault, ...]
) -> float:
    """Send calls under faults, and for some time after the last one ended.

    :return: when the last fault ended, monotonic seconds.
    """
    settings = system.settings
    started_at = time.monotonic()
    load = LoadGenerator(
        system.records,
        system.hosts,
        tuple(system.keys),
        random.Random(settings.seed),
        system.mix,
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(load.run(settings.calls_per_s))
        await asyncio.gather(
            *(_inject_when_due(system, planned) for planned in faults)
        )
        # Some faults outlast their planned time.
        ended_at = max(time.monotonic(), started_at + settings.faults_end_s)
        load.until = max(
            started_at + settings.seconds,
            ended_at + _RECOVERY_S + _RECOVERED_S,
        )
    return ended_at


async def _inject_when_due(system: SoakSystem, planned: PlannedFault) -> None:
    await asyncio.sleep(planned.at)
    log_event(
        'fault injected',
        logging.INFO,
        kind=planned.kind,
        for_s=round(planned.for_s, 2),
        place=round(planned.place, 3),
    )
    await inject_fault(system, planned)
