"""Division of a rate among hosts by their demand."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostDemand:
    """What one host would use of a rate.

    :param rate: requests a second offered there, None for a host that was
        not heard lately and may be using its whole equal part.
    """

    rate: float | None


def divide_rate(
    total: float,
    demands: Mapping[str, HostDemand],
    host: str,
) -> float:
    """Return one host's part of a rate.

    Max-min fair: nobody gets less than its demand or an equal part,
    whichever is smaller, and what is left is dealt out equally. With the
    same demands known everywhere, the parts of all hosts add up to the
    total. A host that hears nobody keeps its equal part, and the others
    leave it to that host.

    >>> known = {'a': HostDemand(9), 'b': HostDemand(1), 'c': HostDemand(None)}
    >>> divide_rate(12, known, 'a'), divide_rate(12, known, 'b')
    (7.0, 1.0)

    Reference: D. Bertsekas, R. Gallager, "Data Networks", section 6.5.2.
    """
    equal = total / max(1, len(demands))
    wanted = {
        name: equal if demand.rate is None else demand.rate
        for name, demand in demands.items()
    }
    parts = _fill(total, wanted)
    left = max(0, total - sum(parts.values()))
    heard = [name for name, one in demands.items() if one.rate is not None]
    if host not in heard:
        return equal
    return parts[host] + left / len(heard)


def _fill(total: float, wanted: Mapping[str, float]) -> dict[str, float]:
    """Serve demands from the smallest up, each at most an equal part."""
    parts: dict[str, float] = {}
    left = total
    waiting = len(wanted)
    for name in sorted(wanted, key=wanted.__getitem__):
        parts[name] = min(wanted[name], left / waiting)
        left = max(0, left - parts[name])
        waiting -= 1
    return parts
