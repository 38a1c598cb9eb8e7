"""Registry of the checks of guarantees."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from crocusshunt.soak._records import Records


@dataclass(frozen=True, slots=True)
class CheckLimits:
    """Limits that the checks compare the records with.

    :param limited_customer: name of the customer whose rate is checked.
    :param rate: its rate in requests a second.
    :param burst: number of requests that it may send at once.
    :param recovery_from: monotonic time in seconds from which calls must be
        answered again.
    """

    limited_customer: str
    rate: float
    burst: float
    recovery_from: float


Check = Callable[[Records, CheckLimits], Iterator[str]]
_CHECKS: dict[str, Check] = {}


def register_check(name: str) -> Callable[[Check], Check]:
    """Register a check under the name of its guarantee."""

    def register(check: Check) -> Check:
        _CHECKS[name] = check
        return check

    return register


def list_checks() -> list[tuple[str, Check]]:
    """Return all checks with the names of their guarantees."""
    return sorted(_CHECKS.items())
