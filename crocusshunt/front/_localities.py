"""The share of objects that a region serves itself."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from math import inf

from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.front._region_loads import RegionLoads
from crocusshunt.logs import log_event
from crocusshunt.placement import (
    Locality,
    RegionLoad,
    adjust_local_factor,
    move_locality,
    plan_locality,
)

# A region whose slots fell below this share of those at the last plan has lost
# room.
_LOST_ROOM_SHARE = 0.9
_LOGGED_SHARE_STEP = 0.1
# Decimal places of loads and weights in the log.
_DIGITS = 2


@dataclass(slots=True)
class LocalityPlanner:
    """Plans which share of each pool's objects this region serves itself.

    The plan follows from the load that callers offer to all hosts. Its steps
    are bounded from the first requests on: before them no request changes its
    region, and a host may not know the servers yet.

    :param loads: that load, by region.
    :param local_factor: factor on the planned local share, by pool; below 1
        while servers of this region are full.
    :param failed_pools: those whose last plan failed with an error.
    """

    cluster: ClusterState
    state: PlacerState
    loads: RegionLoads
    local_factor: dict[str, float] = field(default_factory=dict)
    failed_pools: set[str] = field(default_factory=set)
    _slots: dict[str, Mapping[str, float]] = field(default_factory=dict)
    _logged_shares: dict[str, float] = field(default_factory=dict)

    def plan(self, now: float) -> None:
        """Measure load, and move each pool's division by a bounded step."""
        self.state.offered.measure(now)
        self.state.localities = {
            pool: self._plan_or_keep(pool, now)
            for pool in self.cluster.servers.pools
        }
        self.state.unheard_hosts = self._count_unheard(now)

    def export(self) -> dict[str, tuple[float, dict[str, float]]]:
        """Return the divisions in force, for a host that started."""
        return {
            pool: (one.local_share, dict(one.spare or {}))
            for pool, one in self.state.localities.items()
        }

    def adopt(
        self, divisions: Mapping[str, tuple[float, Mapping[str, float]]]
    ) -> None:
        """Take the divisions of another host of this region for known ones.

        Load pattern: a host starts again while its region moves objects in
        steps. By a plan of its own it would move its callers' objects at once.
        """
        adopted = {
            pool: Locality(local_share, spare)
            for pool, (local_share, spare) in divisions.items()
            if not self.state.offered.count_samples(pool)
        }
        sound = {pool: one for pool, one in adopted.items() if one.is_sound}
        self.state.localities = {**self.state.localities, **sound}

    def apply_full_servers(self, full: Mapping[str, int], now: float) -> None:
        """Apply the load of full servers that another host reports.

        :param full: requests running or waiting at each server, by name.
        """
        for server, requests in full.items():
            if self.cluster.servers.find(server) is not None:
                self.state.find_load(server).note_peer_report(requests, now)

    def forget_stale_state(self, now: float) -> None:
        """Drop the state of removed servers, and what servers said long ago.

        :param now: monotonic seconds.
        """
        find = self.cluster.servers.find
        for name in tuple(self.state.loads):
            if find(name) is None:
                self.state.forget(name)
        self.state.backoffs.expire(now)
        self.cluster.servers.draining.expire(now)

    def _plan_or_keep(self, pool: str, now: float) -> Locality:
        """Plan a pool's division; keep the last one after an error.

        What other writers say of one pool concerns no other pool, and must not
        end the heartbeats.
        """
        try:
            division = self._plan_pool(pool, now)
        except Exception as error:
            self._note_failure(pool, error)
            return self.state.localities.get(pool, Locality())
        self.failed_pools.discard(pool)
        return division

    def _note_failure(self, pool: str, error: Exception) -> None:
        if pool not in self.failed_pools:
            self.failed_pools.add(pool)
            log_event(
                'pool not planned',
                logging.ERROR,
                pool=pool,
                error=repr(error),
            )

    def _plan_pool(self, pool: str, now: float) -> Locality:
        region = self.cluster.fleet.own.region
        loads = self.loads.collect(pool, now)
        plan = self._apply_local_factor(pool, plan_locality(region, loads), now)
        slots = {name: load.slots for name, load in loads.items()}
        lost = self._find_lost_room(pool, slots)
        if self.loads.has_traffic(pool, now):
            known = self.state.localities.get(pool)
            plan = move_locality(known, plan, region, slots, lost)
        self._log_division(pool, plan, loads)
        return plan

    def _log_division(
        self, pool: str, division: Locality, loads: Mapping[str, RegionLoad]
    ) -> None:
        """Log a division that differs clearly from the last one logged."""
        logged = self._logged_shares.get(pool, inf)
        if abs(division.local_share - logged) < _LOGGED_SHARE_STEP:
            return
        self._logged_shares[pool] = division.local_share
        log_event(
            'objects divided',
            pool=pool,
            local_share=round(division.local_share, 2),
            weights={
                region: round(weight, _DIGITS)
                for region, weight in (division.spare or {}).items()
            },
            loads={
                region: (load.slots, *_round(load.demand, load.pinned))
                for region, load in loads.items()
            },
        )

    def _count_unheard(self, now: float) -> dict[str, int]:
        """Return the hosts that may send requests to each pool unnoticed."""
        peers = len(self.cluster.fleet.list_live(now))
        return {
            pool: peers
            for pool in self.cluster.servers.pools
            if not self.loads.has_heard_all(pool, now)
        }

    def _find_lost_room(
        self, pool: str, slots: Mapping[str, float]
    ) -> frozenset[str]:
        """Return the regions with fewer slots than at the last plan."""
        before = self._slots.get(pool, {})
        self._slots[pool] = slots
        return frozenset(
            region
            for region, count in before.items()
            if slots.get(region, 0) < _LOST_ROOM_SHARE * count
        )

    def _apply_local_factor(
        self, pool: str, plan: Locality, now: float
    ) -> Locality:
        """Lower the local share while this region's servers are full."""
        own_region = self.cluster.fleet.own.region
        own: list[bool] = []
        others: list[bool] = []
        for server in self.cluster.servers.select(pool):
            load = self.state.find_load(server.entry.name).estimate(now)
            group = own if server.region == own_region else others
            group.append(load >= server.entry.slots)
        if not own:
            return plan
        local_factor = adjust_local_factor(
            self.local_factor.get(pool, 1),
            _average(own),
            _average(others),
        )
        self.local_factor[pool] = local_factor
        return replace(plan, local_share=plan.local_share * local_factor)


def _round(*loads: float) -> tuple[float, ...]:
    return tuple(round(load, _DIGITS) for load in loads)


def _average(flags: list[bool]) -> float:
    return sum(flags) / len(flags) if flags else 1
