"""What hosts and regions with demand to spare lend to those that need it.

The plans only decide who asks and what is lent; that no part has two users is
up to the leases, so hosts may plan by different knowledge.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from crocusshunt.sharing._shares import GroupDemand, divide_rate

# Of its equal share, demand above which a group borrows.
_NEEDY_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Balance:
    """What a group of hosts owns of a rate, and what it should have.

    :param base: equal shares of its hosts, in requests a second.
    :param target: share by the demand of all groups, in requests a second.
    :param is_needy: whether its demand is near its base or above it.
    """

    base: float
    target: float
    is_needy: bool

    @property
    def surplus(self) -> float:
        """Return what it may lend, in requests a second."""
        return max(0, self.base - self.target)

    @property
    def deficit(self) -> float:
        """Return what it should borrow, in requests a second."""
        return max(0, self.target - self.base) if self.is_needy else 0


def balance_groups(
    total: float, demands: Mapping[str, GroupDemand]
) -> dict[str, Balance]:
    """Return the balance of each group of known demand.

    :param total: the rate that is divided, in requests a second.

    >>> demands = {'a': GroupDemand(9, hosts=2), 'b': GroupDemand(1, hosts=2)}
    >>> balance_groups(10, demands)['a']
    Balance(base=5.0, target=9.0, is_needy=True)
    """
    hosts = sum(demand.hosts for demand in demands.values())
    targets = divide_rate(total, demands)
    return {
        name: _balance(demand, total / max(1, hosts), targets[name])
        for name, demand in demands.items()
        if demand.rate is not None
    }


def divide_surplus(
    own: str, balances: Mapping[str, Balance]
) -> dict[str, float]:
    """Return what fraction of its base a group lends to each needy one.

    >>> a, b = Balance(5, 9, is_needy=True), Balance(5, 1, is_needy=False)
    >>> divide_surplus('b', {'a': a, 'b': b})
    {'a': 0.8}
    """
    lender = balances[own]
    needed = sum(one.deficit for one in balances.values())
    if not needed or not lender.surplus:
        return {}
    return {
        name: lender.surplus / lender.base * one.deficit / needed
        for name, one in balances.items()
        if one.deficit
    }


def _balance(demand: GroupDemand, share: float, target: float) -> Balance:
    base = share * demand.hosts
    is_needy = (demand.rate or 0) > _NEEDY_SHARE * base
    return Balance(base, target, is_needy)
