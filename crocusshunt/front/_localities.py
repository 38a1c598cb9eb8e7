"""Busy slots by pool, and where a region's objects are served."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from crocusshunt.front._knowledge import Knowledge
from crocusshunt.front._placing import PlacerState
from crocusshunt.placement import (
    Locality,
    RegionLoad,
    adjust_local_factor,
    plan_locality,
)

_NEWEST = 0.2
# Slower than the share of requests that may change region in two seconds.
_LOCALITY_STEP = 0.04
_EXPECTED_UTILIZATION = 0.5


@dataclass(slots=True)
class LocalityPlanner:
    """Plans localities from this host's and the other hosts' busy slots."""

    knowledge: Knowledge
    state: PlacerState
    busy: dict[str, float] = field(default_factory=dict)
    relief: dict[str, float] = field(default_factory=dict)

    def plan(self, now: float) -> None:
        """Measure, and move each pool's locality by a bounded step."""
        self._measure()
        region = self.knowledge.fleet.own.region
        known = self.state.localities
        self.state.localities = {
            pool: _approach(
                known.get(pool),
                self._relieve(
                    pool,
                    plan_locality(region, self._find_rooms(pool, now)),
                    now,
                ),
            )
            for pool in self.knowledge.servers.pools
        }

    def take_full(self, full: Mapping[str, int], now: float) -> None:
        """Take loads of full servers that another host tells of."""
        for server, total in full.items():
            if self.knowledge.servers.find(server) is not None:
                self.state.find_load(server).note_peer_report(total, now)

    def forget_gone(self) -> None:
        """Drop what is known of servers that are gone."""
        find = self.knowledge.servers.find
        for name in tuple(self.state.loads):
            if find(name) is None:
                self.state.forget(name)

    def sum_busy(self, now: float) -> dict[str, float]:
        """Return the busy slots of this region's hosts, by pool."""
        total = dict(self.busy)
        for peer in self.knowledge.fleet.list_live(now):
            heard = {} if peer.heartbeat is None else peer.heartbeat.busy
            for pool, busy in heard.items():
                total[pool] = total.get(pool, 0) + busy
        return total

    def _relieve(self, pool: str, plan: Locality, now: float) -> Locality:
        """Send more objects elsewhere while this region's servers are full."""
        own_region = self.knowledge.fleet.own.region
        own: list[bool] = []
        others: list[bool] = []
        for server in self.knowledge.servers.select(pool):
            load = self.state.find_load(server.entry.name).estimate(now)
            group = own if server.region == own_region else others
            group.append(load >= server.entry.slots)
        relief = adjust_local_factor(
            self.relief.get(pool, 1),
            _mean(own),
            _mean(others),
        )
        self.relief[pool] = relief
        return replace(plan, local_share=plan.local_share * relief)

    def _measure(self) -> None:
        servers = self.knowledge.servers
        for pool in servers.pools:
            busy = sum(
                self.state.find_load(one.entry.name).in_flight
                for one in servers.select(pool)
            )
            known = self.busy.get(pool, 0)
            self.busy[pool] = known + _NEWEST * (busy - known)

    def _find_rooms(self, pool: str, now: float) -> Mapping[str, RegionLoad]:
        """Return slots and demand of each region for a pool.

        Until traffic is measured, all regions are taken to want the same.
        """
        slots: dict[str, float] = {}
        for server in self.knowledge.servers.select(pool):
            found = slots.get(server.region, 0)
            slots[server.region] = found + server.entry.slots
        demand = self._find_demand(pool, now)
        regions = {*slots, *demand}
        if sum(demand.values()) < 1:
            expected = _EXPECTED_UTILIZATION * sum(slots.values())
            demand = dict.fromkeys(regions, expected / len(regions))
        return {
            name: RegionLoad(slots.get(name, 0), demand.get(name, 0))
            for name in regions
        }

    def _find_demand(self, pool: str, now: float) -> dict[str, float]:
        fleet = self.knowledge.fleet
        demand = {
            summary.region: summary.busy.get(pool, 0)
            for summary in fleet.list_summaries(now)
        }
        demand[fleet.own.region] = self.sum_busy(now).get(pool, 0)
        return demand


def _mean(flags: list[bool]) -> float:
    return sum(flags) / len(flags) if flags else 1


def _approach(known: Locality | None, plan: Locality) -> Locality:
    """Move towards a plan by a bounded step."""
    if known is None:
        return plan
    step = plan.local_share - known.local_share
    bounded = max(-_LOCALITY_STEP, min(_LOCALITY_STEP, step))
    return Locality(known.local_share + bounded, plan.spare)
