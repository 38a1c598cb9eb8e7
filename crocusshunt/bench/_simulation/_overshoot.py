"""Counts admissions above a customer's rate and burst."""

from collections.abc import Iterable

from crocusshunt.routing import Customer

_ROUNDING_TOLERANCE = 1e-6


def count_overshoot(customer: Customer, admitted: Iterable[float]) -> int:
    """Return how many admissions exceeded the customer's limit.

    The admissions are replayed through a token bucket that starts full. It
    admits exactly the sequences that stay within rate x time + burst in
    every interval, so each admission that finds no token is in excess.

    :param admitted: times of the admissions, in seconds.

    >>> court = Customer('court', rate=1, burst=2)
    >>> count_overshoot(court, (0, 0, 0.5, 1, 2))
    1
    """
    level: float = customer.burst
    previous: float = 0
    overshoot = 0
    for now in sorted(admitted):
        level = min(customer.burst, level + (now - previous) * customer.rate)
        previous = now
        if level < 1 - _ROUNDING_TOLERANCE:
            overshoot += 1
        else:
            level -= 1
    return overshoot
