"""Load that callers of each region offer to a pool."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from crocusshunt.catalog import share_homes
from crocusshunt.fleet import Heartbeat
from crocusshunt.front._cluster import ClusterState
from crocusshunt.placement import OfferedLoad, RegionLoad

# Assumed until traffic is measured.
_EXPECTED_UTILIZATION = 0.5
# When this host has so many samples, each a heartbeat apart, summaries of
# other regions cover their first sample.
_HEARD_SAMPLE_COUNT = 2


@dataclass(frozen=True, slots=True)
class RegionLoads:
    """Adds up the load that this host measured and that others report.

    :param offered: load that this host's callers offer.
    """

    cluster: ClusterState
    offered: OfferedLoad

    def has_traffic(self, pool: str, now: float) -> bool:
        """Tell whether hosts of this region got requests for a pool."""
        if self.offered.count_samples(pool):
            return True
        return any(one.busy.get(pool, 0) for one in self._list_heartbeats(now))

    def has_heard_all(self, pool: str, now: float) -> bool:
        """Tell whether the demand of a pool is known for all regions.

        Load pattern: callers of all regions come at once. Each region measures
        its own in the same second and hears of the others' a heartbeat later;
        until then it would take them for idle.
        """
        if self.offered.count_samples(pool) >= _HEARD_SAMPLE_COUNT:
            return True
        fleet = self.cluster.fleet
        summaries = fleet.list_summaries(now)
        heard = {one.region for one in summaries if any(one.busy.values())}
        if any(any(one.busy.values()) for one in self._list_heartbeats(now)):
            heard.add(fleet.own.region)
        return heard.issuperset(
            peer.record.region for peer in fleet.peers.values()
        )

    def sum_offered(self, now: float) -> dict[str, float]:
        """Return the load offered to this region's hosts, in slots, by pool."""
        heartbeats = self._list_heartbeats(now)
        return _add_up(self.offered.averages, *(one.busy for one in heartbeats))

    def sum_pinned(self, now: float) -> dict[str, dict[str, float]]:
        """Return this region's load that only one region may serve.

        By that region and by pool.
        """
        everyone = [self.offered.pinned]
        everyone += [one.pinned for one in self._list_heartbeats(now)]
        return _add_up_by_region(everyone)

    def collect(self, pool: str, now: float) -> Mapping[str, RegionLoad]:
        """Return the slots and demand of a pool in each region.

        Until the traffic of all regions is measured, all are assumed to have
        the same demand.
        """
        slots = self._sum_slots(pool)
        if not self.has_heard_all(pool, now):
            return self._expect(slots)
        summaries = self.cluster.fleet.list_summaries(now)
        demand = {one.region: one.busy.get(pool, 0) for one in summaries}
        own_region = self.cluster.fleet.own.region
        demand[own_region] = self.sum_offered(now).get(pool, 0)
        pinned = _add_up_by_region(
            [self.sum_pinned(now), *(one.pinned for one in summaries)]
        )
        regions = {*slots, *demand}
        if sum(demand.values()) < 1:
            return self._expect(dict.fromkeys(regions, 0) | slots)
        return {
            name: RegionLoad(
                slots.get(name, 0),
                demand.get(name, 0),
                pinned.get(name, {}).get(pool, 0),
            )
            for name in regions
        }

    def _expect(self, slots: Mapping[str, float]) -> Mapping[str, RegionLoad]:
        """Return the load to expect before any is measured.

        Load pattern: a region with few servers in which large customers of
        all regions have their home. It must leave room for them from the
        first request on, since its share may only change in steps then. Without
        servers that take requests, no region has anything to expect.
        """
        if not slots:
            return {}
        index = self.cluster.index
        homes = share_homes(() if index is None else index.catalog.customers)
        expected = _EXPECTED_UTILIZATION * sum(slots.values())
        homeless_share = max(0, 1 - sum(homes.values()))
        demand = expected * homeless_share / len(slots)
        return {
            name: RegionLoad(own_slots, demand, expected * homes.get(name, 0))
            for name, own_slots in slots.items()
        }

    def _sum_slots(self, pool: str) -> dict[str, float]:
        slots: dict[str, float] = {}
        for server in self.cluster.servers.select(pool):
            found = slots.get(server.region, 0)
            slots[server.region] = found + server.entry.slots
        return slots

    def _list_heartbeats(self, now: float) -> list[Heartbeat]:
        peers = self.cluster.fleet.list_live(now)
        return [one.heartbeat for one in peers if one.heartbeat is not None]


def _add_up(*loads: Mapping[str, float]) -> dict[str, float]:
    total: dict[str, float] = {}
    for load in loads:
        for pool, slots in load.items():
            total[pool] = total.get(pool, 0) + slots
    return total


def _add_up_by_region(
    loads: Sequence[Mapping[str, Mapping[str, float]]],
) -> dict[str, dict[str, float]]:
    regions = {region for load in loads for region in load}
    return {
        region: _add_up(*(load.get(region, {}) for load in loads))
        for region in regions
    }
