"""Who lends fractions of a customer's rate to whom, as one host plans it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from crocusshunt.catalog import CustomerRule
from crocusshunt.fleet import FleetView
from crocusshunt.front._demands import FleetDemand
from crocusshunt.sharing import Balance, balance_groups, divide_surplus

Balances = Mapping[str, Balance]


@dataclass(frozen=True, slots=True)
class LoanPlan:
    """What a host borrows and lends of a customer's rate.

    :param lenders: hosts that it asks for fractions of their parts.
    :param regions: fraction of its part for each other region.
    :param hosts: fraction of its part for other hosts of its region.
    """

    lenders: tuple[str, ...] = ()
    regions: Mapping[str, float] = field(default_factory=dict)
    hosts: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoanPlanner:
    """Plans the loans of one customer's rate.

    :param keeper: the host with the bucket of this region, empty if each host
        has a bucket of its own.
    """

    fleet: FleetView
    demand: FleetDemand
    rule: CustomerRule
    keeper: str

    def plan(self) -> LoanPlan:
        """Return what this host borrows and lends."""
        own = self.fleet.own
        regions = balance_groups(
            self.rule.rate, self.demand.group_regions(self.rule.name)
        )
        lent = divide_surplus(own.region, regions)
        if self.keeper:
            borrowers = [self.keeper]
            lenders: list[str] = []
            hosts: dict[str, float] = {}
        else:
            balances = self._balance_hosts(regions[own.region])
            hosts = self._divide_own(balances, sum(lent.values()))
            borrowers = [
                name for name, one in sorted(balances.items()) if one.deficit
            ]
            lenders = [name for name, one in balances.items() if one.surplus]
        if own.name not in borrowers:
            return LoanPlan((), lent, hosts)
        if regions[own.region].deficit:
            lenders.extend(self._choose_lenders(regions, borrowers))
        return LoanPlan(tuple(lenders), lent, hosts)

    @property
    def _part(self) -> float:
        """Return the equal part of each host, in requests a second."""
        return self.rule.rate / self.demand.registered

    def _balance_hosts(self, region: Balance) -> Balances:
        """Return the balance of each host of this region.

        What a region borrows is used by hosts that need it, so none of the
        others has more than its part.
        """
        groups = self.demand.group_hosts(self.rule.name)
        return {
            name: replace(one, base=min(one.base, self._part))
            for name, one in balance_groups(region.target, groups).items()
        }

    def _divide_own(self, balances: Balances, lent: float) -> dict[str, float]:
        """Return the fractions of its part that a host lends in its region.

        :param lent: fraction that it lends to other regions.
        """
        own = self.fleet.own.name
        scale = balances[own].base / self._part
        left = max(0, 1 - lent)
        return {
            name: min(left, share * scale)
            for name, share in divide_surplus(own, balances).items()
        }

    def _choose_lenders(
        self, regions: Balances, borrowers: list[str]
    ) -> Iterable[str]:
        """Return the hosts of other regions that this borrower asks.

        They are divided among the borrowers of this region.
        """
        own = borrowers.index(self.fleet.own.name)
        names = sorted(
            record.name
            for record in self.fleet.other_region_hosts
            if record.region in regions and regions[record.region].surplus
        )
        if 0 < len(names) <= own:
            return [names[own % len(names)]]
        return names[own :: len(borrowers)]
