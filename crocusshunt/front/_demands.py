"""What is asked of all hosts, seen from one of them at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass

from crocusshunt.fleet import FleetView
from crocusshunt.sharing import DemandMeter, GroupDemand

# Stands for hosts of any region that may be using their equal parts.
_SILENT = ''


@dataclass(frozen=True, slots=True)
class RegionDemand:
    """Demand at the hosts of a region that were heard.

    :param rates: requests a second offered there, by customer.
    """

    hosts: int
    rates: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class FleetDemand:
    """Demand by region, and by host within the own region.

    :param hosts: requests a second offered to each host that was heard and
        to this one, by host and customer.
    :param silent: registered hosts that were not heard.
    :param registered: all registered hosts.
    """

    hosts: Mapping[str, Mapping[str, float]]
    regions: Mapping[str, RegionDemand]
    silent: int
    registered: int

    def group_hosts(self, customer: str) -> dict[str, GroupDemand]:
        """Return a customer's demand at each host of this region."""
        return {
            name: GroupDemand(rates.get(customer, 0))
            for name, rates in self.hosts.items()
        }

    def group_regions(self, customer: str) -> dict[str, GroupDemand]:
        """Return a customer's demand by region, and the silent hosts."""
        found = {
            name: GroupDemand(region.rates.get(customer, 0), region.hosts)
            for name, region in self.regions.items()
        }
        if self.silent > 0:
            found[_SILENT] = GroupDemand(None, self.silent)
        return found


def observe_demand(
    fleet: FleetView,
    meter: DemandMeter,
    now: float,
) -> FleetDemand:
    """Return what this host and the others tell of their demand."""
    hosts: dict[str, Mapping[str, float]] = {fleet.own.name: meter.rates(now)}
    for peer in fleet.list_live(now):
        if peer.heartbeat is not None:
            hosts[peer.record.name] = peer.heartbeat.demand
    own_region = RegionDemand(len(hosts), _sum_rates(hosts))
    regions = {fleet.own.region: own_region}
    for summary in fleet.list_summaries(now):
        heard = min(summary.hosts, fleet.count_hosts(summary.region))
        if heard:
            regions[summary.region] = RegionDemand(heard, summary.demand)
    registered = len(fleet.names)
    heard_hosts = sum(region.hosts for region in regions.values())
    return FleetDemand(hosts, regions, registered - heard_hosts, registered)


def _sum_rates(hosts: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    total: dict[str, float] = {}
    for rates in hosts.values():
        for customer, rate in rates.items():
            total[customer] = total.get(customer, 0) + rate
    return total
