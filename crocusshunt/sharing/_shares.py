"""Max-min fair division of a rate among hosts by their demand."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupDemand:
    """Demand of a group of hosts, of which a rate is divided.

    :param rate: requests a second offered to the group, None if it is unknown
        since no recent message came from its hosts; they may be using their
        whole equal shares.
    :param hosts: number of hosts in the group.
    """

    rate: float | None
    hosts: int = 1

    @property
    def rate_per_host(self) -> float:
        """Return the mean demand of a host, in requests a second."""
        return (self.rate or 0) / self.hosts


def divide_rate(
    total: float,
    demands: Mapping[str, GroupDemand],
) -> dict[str, float]:
    """Return each group's share of a rate.

    Max-min fair by host: each group gets at least its demand or the equal
    shares of its hosts, whichever is smaller. The rest is divided in
    proportion to the number of hosts, so the shares add up to the total.
    A group of unknown demand gets exactly the equal shares of its hosts.

    :param total: the rate, in requests a second.

    >>> demands = {'a': GroupDemand(9), 'b': GroupDemand(1, hosts=2)}
    >>> divide_rate(13, {**demands, 'silent': GroupDemand(None)})
    {'a': 8.75, 'b': 1.0, 'silent': 3.25}

    Reference: D. Bertsekas, R. Gallager, "Data Networks", section 6.5.2.
    """
    hosts = sum(demand.hosts for demand in demands.values())
    equal_share = total / max(1, hosts)
    shares = {
        name: equal_share * demand.hosts
        for name, demand in demands.items()
        if demand.rate is None
    }
    remaining = max(0, total - sum(shares.values()))
    shares.update(_divide_max_min(remaining, demands))
    return {name: shares[name] for name in demands}


def _divide_max_min(
    total: float,
    demands: Mapping[str, GroupDemand],
) -> dict[str, float]:
    """Divide a rate among the groups of known demand.

    Groups are served in ascending order of their demand for each host; what
    remains is then divided in proportion to the number of hosts.
    """
    known = sorted(
        (name for name, demand in demands.items() if demand.rate is not None),
        key=lambda name: demands[name].rate_per_host,
    )
    shares: dict[str, float] = {}
    remaining_hosts = sum(demands[name].hosts for name in known)
    all_hosts = max(1, remaining_hosts)
    remaining = total
    for name in known:
        demand = demands[name]
        shares[name] = min(
            demand.rate or 0, remaining * demand.hosts / remaining_hosts
        )
        remaining = max(0, remaining - shares[name])
        remaining_hosts -= demand.hosts
    for name in known:
        shares[name] += remaining * demands[name].hosts / all_hosts
    return shares
