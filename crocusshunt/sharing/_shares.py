"""Division of a rate among hosts by their demand."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupDemand:
    """What a group of hosts would use of a rate.

    :param rate: requests a second offered there, None for hosts that were
        not heard lately and may be using their whole equal parts.
    :param hosts: size of the group.
    """

    rate: float | None
    hosts: int = 1

    @property
    def rate_per_host(self) -> float:
        """Return the mean demand of the group's hosts."""
        return (self.rate or 0) / self.hosts


def divide_rate(
    total: float,
    demands: Mapping[str, GroupDemand],
) -> dict[str, float]:
    """Return each group's part of a rate.

    Max-min fair by host: no group gets less than its demand or the equal
    parts of its hosts, whichever is smaller, and what is left is dealt out
    by hosts. The parts add up to the total. A group that is not heard keeps
    its equal parts.

    >>> demands = {'a': GroupDemand(9), 'b': GroupDemand(1, hosts=2)}
    >>> divide_rate(13, {**demands, 'silent': GroupDemand(None)})
    {'a': 8.75, 'b': 1.0, 'silent': 3.25}

    Reference: D. Bertsekas, R. Gallager, "Data Networks", section 6.5.2.
    """
    hosts = sum(demand.hosts for demand in demands.values())
    equal = total / max(1, hosts)
    parts = {
        name: equal * demand.hosts
        for name, demand in demands.items()
        if demand.rate is None
    }
    left = max(0, total - sum(parts.values()))
    parts.update(_fill(left, demands))
    return {name: parts[name] for name in demands}


def _fill(
    total: float,
    demands: Mapping[str, GroupDemand],
) -> dict[str, float]:
    """Serve heard groups from the least demand a host up, then deal out."""
    heard = sorted(
        (name for name, demand in demands.items() if demand.rate is not None),
        key=lambda name: demands[name].rate_per_host,
    )
    parts: dict[str, float] = {}
    waiting = sum(demands[name].hosts for name in heard)
    everyone = max(1, waiting)
    left = total
    for name in heard:
        demand = demands[name]
        parts[name] = min(demand.rate or 0, left * demand.hosts / waiting)
        left = max(0, left - parts[name])
        waiting -= demand.hosts
    for served in heard:
        parts[served] += left * demands[served].hosts / everyone
    return parts
