"""Demand at all hosts, as one host knows it at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass

from crocusshunt.fleet import FleetView
from crocusshunt.sharing import GroupDemand

# Key of the group of hosts, of any region, whose demand is unknown; each may
# be using an equal share.
_UNKNOWN_GROUP = ''


@dataclass(frozen=True, slots=True)
class RegionDemand:
    """Demand at the hosts of a region whose heartbeats arrive.

    :param hosts: number of these hosts.
    :param rates: offered requests per second, by customer.
    """

    hosts: int
    rates: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class FleetDemand:
    """Demand by region, and by host within the own region.

    :param hosts: offered requests per second, by host and customer, for this
        host and those of its region whose heartbeats arrive.
    :param regions: demand of each region that was heard from, by name.
    :param silent: number of registered hosts without a recent heartbeat.
    :param registered: number of all registered hosts.
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
        """Return a customer's demand by region.

        Silent hosts form one more group, of unknown demand.
        """
        found = {
            name: GroupDemand(region.rates.get(customer, 0), region.hosts)
            for name, region in self.regions.items()
        }
        if self.silent > 0:
            found[_UNKNOWN_GROUP] = GroupDemand(None, self.silent)
        return found


def observe_demand(
    fleet: FleetView,
    own_rates: Mapping[str, float],
    now: float,
) -> FleetDemand:
    """Combine this host's demand with that announced by others.

    :param own_rates: requests a second at this host, by customer.
    :param now: monotonic seconds.
    """
    hosts: dict[str, Mapping[str, float]] = {fleet.own.name: own_rates}
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
