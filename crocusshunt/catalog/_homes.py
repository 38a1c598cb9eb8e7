"""Customers that only some regions may serve."""

from collections.abc import Iterable, Mapping

from crocusshunt.catalog._rules import CustomerRule


def share_homes(customers: Iterable[CustomerRule]) -> Mapping[str, float]:
    """Return the share of all customers' rates that is due in each region.

    Only customers with home regions are due in one; customers without a rate
    are left out. A customer with several home regions is due in equal parts.

    >>> north = CustomerRule('n', rate=30, home_regions=frozenset(('a',)))
    >>> everywhere = CustomerRule('e', rate=70)
    >>> share_homes((north, everywhere))
    {'a': 0.3}
    """
    rated = [one for one in customers if one.rate > 0]
    total = sum(one.rate for one in rated)
    shares: dict[str, float] = {}
    for one in rated:
        part = one.rate / total / max(1, len(one.home_regions))
        for region in sorted(one.home_regions):
            shares[region] = shares.get(region, 0) + part
    return shares
