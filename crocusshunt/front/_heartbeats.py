"""Periodic work of a host: measurement, rate division, heartbeats."""

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from crocusshunt.core import Clock
from crocusshunt.fleet import (
    FleetSettings,
    Heartbeat,
    RegionSummary,
    StatusMessage,
    list_relays,
)
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._followers import Followers
from crocusshunt.front._former_leases import FormerLeases
from crocusshunt.front._heard_hosts import HeardHosts
from crocusshunt.front._lease_messages import LeaseMessages
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.front._tokens import TokenService
from crocusshunt.placement import ServerRegistry
from crocusshunt.services import TaskGroup

# Decimal places of rates in messages.
_DIGITS = 2
# Interval of the check for changes that are announced before the next
# heartbeat is due.
_CHECK_INTERVAL_S = 0.2


@dataclass(slots=True)
class HeartbeatLoop:
    """Sends heartbeats to other hosts.

    :param started_at: Unix time of this process's start, in milliseconds.
    """

    cluster: ClusterState
    followers: Followers
    readiness: Readiness
    planner: LocalityPlanner
    tokens: TokenService
    crashes: CrashWatch
    reach: ServerReach
    outbox: Outbox
    tasks: TaskGroup
    settings: FleetSettings
    clock: Clock
    started_at: int
    heard: HeardHosts = field(init=False)
    former: FormerLeases = field(init=False)
    leases: LeaseMessages = field(init=False)
    _sequence: int = 0
    _announced_ready: bool = False
    _announced_cut_off: bool = False
    _announced_versions: tuple[int, ...] = ()
    _has_new_hosts: bool = False

    def __post_init__(self) -> None:
        """Create the parts that depend on other ones."""
        self.heard = HeardHosts(self.cluster.fleet)
        self.former = FormerLeases(
            self.tokens.limits, self.followers, self.started_at
        )
        self.leases = LeaseMessages(
            self.tokens.lending,
            self.tokens.borrowing,
            self.former,
            self.outbox,
        )

    async def run(self) -> None:
        """Do the periodic work each heartbeat interval, until cancelled.

        In between, announce a change of this host's readiness at once, and
        divide the limits again soon after another host started. The host that
        watches the store also announces changes of its tables at once.
        """
        checks_per_heartbeat = round(
            self.settings.heartbeat_s / _CHECK_INTERVAL_S
        )
        for check in itertools.count():
            if check % checks_per_heartbeat:
                self._check_for_changes()
            else:
                self.run_once()
            self.followers.watch(is_watcher=self._is_watcher())
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def run_once(self) -> None:
        """Measure load, divide the limits again, and send heartbeats."""
        now = self.clock.monotonic()
        self.planner.plan(now)
        self._divide_limits()
        self.send_heartbeats()
        self.leases.run_once()
        self.heard.log_changes(now)
        self.crashes.expire(now)
        self.cluster.connections.expire()
        self.planner.forget_stale_state(now)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the hosts of this region.

        The host that speaks for its region also sends a summary of it to the
        hosts of all other regions.
        """
        now = self.clock.monotonic()
        fleet = self.cluster.fleet
        if self.tokens.limits.is_ready != self.readiness.is_ready:
            # A host that is not ready keeps no bucket, and says so at once.
            self._divide_limits()
        self._sequence += 1
        self._announced_ready = self.readiness.is_ready
        self._announced_cut_off = self.reach.is_cut_off
        self._announced_versions = self.followers.versions
        self.crashes.has_news = False
        self.outbox.send(self._create_heartbeat(now), fleet.same_region_hosts)
        self.planner.state.reset_full_servers()
        if fleet.is_summary_sender(now):
            self.outbox.send(
                self._create_summary(now), fleet.other_region_hosts
            )

    def reply_to_new_host(self, message: StatusMessage) -> None:
        """Send a heartbeat to a host that just started.

        Otherwise it would learn of this host only with the next heartbeat, and
        wait for the leases that it may have given to this host before.
        """
        self._has_new_hosts = True
        self._sequence += 1
        self.former.drop(message.name)
        heartbeat = self._create_heartbeat(self.clock.monotonic())
        reply = msgspec.structs.replace(
            heartbeat,
            divisions=self.planner.export(),
            dropped=message.started_at,
        )
        self.outbox.send_to(reply, message.name)

    def _check_for_changes(self) -> None:
        self.leases.recall_former()
        if self._has_new_hosts:
            self._has_new_hosts = False
            self._divide_limits()
        is_announced = self.readiness.is_ready == self._announced_ready
        if is_announced and self._is_watcher():
            is_announced = self.followers.versions == self._announced_versions
        has_news = self.reach.is_cut_off != self._announced_cut_off
        if not is_announced or has_news or self.crashes.has_news:
            self.send_heartbeats()

    def _is_watcher(self) -> bool:
        return self.cluster.fleet.is_watcher(self.clock.monotonic())

    @property
    def _may_send(self) -> bool:
        """Tell whether this host accepts requests and reaches servers."""
        return self.readiness.is_ready and not self.reach.is_cut_off

    def _divide_limits(self) -> None:
        now = self.clock.monotonic()
        is_ready = self.readiness.is_ready
        own_name = self.cluster.fleet.own.name
        is_listed = own_name in self.followers.hosts.image.rows
        self.tokens.limits.is_registered = (
            is_listed and self.followers.knows_hosts()
        )
        self.tokens.limits.divide(now, is_ready=is_ready)
        self.planner.state.limited.divide(
            self.cluster.servers,
            self.cluster.fleet,
            now,
            may_send=self._may_send,
        )

    def _create_heartbeat(self, now: float) -> Heartbeat:
        stamp, kept = self.tokens.borrowing.kept.tell()
        return Heartbeat(
            name=self.cluster.fleet.own.name,
            started_at=self.started_at,
            sequence=self._sequence,
            is_ready=self.readiness.is_ready,
            versions=self.followers.versions,
            demand=_round_values(self.tokens.limits.demand.rates(now)),
            busy=_round_values(self.planner.state.offered.averages),
            full=self.planner.state.full_servers,
            pinned=_round_regions(self.planner.state.offered.pinned),
            is_following=not self.followers.is_failing(),
            limits=dict(self.planner.state.limited.export_own(now)),
            crashes=self.crashes.export(now),
            lost_pools=self.reach.lost_pools,
            is_cut_off=self.reach.is_cut_off,
            draining=_export_draining(self.cluster.servers, now),
            stamp=stamp,
            kept=kept,
            is_unsure=self.former.is_unsure,
        )

    def _create_summary(self, now: float) -> RegionSummary:
        fleet = self.cluster.fleet
        region = self.tokens.limits.observe(now).regions[fleet.own.region]
        return RegionSummary(
            name=fleet.own.name,
            started_at=self.started_at,
            sequence=self._sequence,
            region=fleet.own.region,
            hosts=region.hosts,
            versions=self.followers.versions,
            demand=_round_values(region.rates),
            busy=_round_values(self.planner.loads.sum_offered(now)),
            pinned=_round_regions(self.planner.loads.sum_pinned(now)),
            limits=dict(self.planner.state.limited.export_all(now)),
            crashes=self.crashes.export(now),
            relays=list_relays(fleet, now, may_relay=self._may_send),
            lost_pools=() if self.reach.is_cut_off else self.reach.lost_pools,
            draining=_export_draining(self.cluster.servers, now),
        )


def _round_values(rates: Mapping[str, float]) -> dict[str, float]:
    return {name: round(rate, _DIGITS) for name, rate in rates.items()}


def _round_regions(
    loads: Mapping[str, Mapping[str, float]],
) -> dict[str, dict[str, float]]:
    return {region: _round_values(load) for region, load in loads.items()}


def _export_draining(
    servers: ServerRegistry, now: float
) -> dict[str, tuple[int, float]]:
    """Return the draining servers that other hosts are told."""

    def is_told_by_table(name: str) -> bool:
        known = servers.find(name)
        return known is None or known.entry.is_draining

    return dict(servers.draining.export(now, is_told_by_table))
