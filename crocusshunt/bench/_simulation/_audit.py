"""Checks what was admitted against the promise."""

from collections.abc import Iterable

from crocusshunt.routing import Customer

_ROUNDING = 1e-6


def count_overshoot(customer: Customer, admitted: Iterable[float]) -> int:
    """Return how many admissions were too many in some interval.

    One full bucket admits exactly what stays within rate x time + burst in
    every interval.

    :param admitted: times in seconds.

    >>> court = Customer('court', rate=1, burst=2)
    >>> count_overshoot(court, (0, 0, 0.5, 1, 2))
    1
    """
    level: float = customer.burst
    before: float = 0
    overshoot = 0
    for now in sorted(admitted):
        level = min(customer.burst, level + (now - before) * customer.rate)
        before = now
        if level < 1 - _ROUNDING:
            overshoot += 1
        else:
            level -= 1
    return overshoot
