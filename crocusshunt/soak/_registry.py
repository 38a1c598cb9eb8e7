"""Registry of the kinds of faults."""

from collections.abc import Awaitable, Callable

from crocusshunt.soak._plan import PlannedFault
from crocusshunt.soak._system import SoakSystem

FaultInjector = Callable[[SoakSystem, PlannedFault], Awaitable[None]]
_FAULTS: dict[str, FaultInjector] = {}


def register_fault(name: str) -> Callable[[FaultInjector], FaultInjector]:
    """Register the function that injects a fault under its name."""

    def register(inject: FaultInjector) -> FaultInjector:
        _FAULTS[name] = inject
        return inject

    return register


def list_faults() -> tuple[str, ...]:
    """Return the names of all faults."""
    return tuple(sorted(_FAULTS))


async def inject_fault(system: SoakSystem, planned: PlannedFault) -> None:
    """Inject a fault, and undo it after its duration."""
    await _FAULTS[planned.kind](system, planned)
