"""What a host does about once a second: heartbeats, shares, locality."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.fleet import (
    DatagramEndpoint,
    FleetSettings,
    Heartbeat,
    decode_heartbeat,
    encode,
)
from crocusshunt.front._followers import Followers
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.front._placing import PlacerState
from crocusshunt.front._readiness import Readiness
from crocusshunt.placement import Locality, RegionRoom, plan_locality
from crocusshunt.services import TaskGroup
from crocusshunt.sharing import (
    CustomerLimiter,
    DemandMeter,
    HostDemand,
    RetryLimiter,
    divide_rate,
)

# A host not heard for this long may be using its whole equal part.
_DEMAND_AGE_S = 2
_BUSY_MEMORY = 0.2
# Demand above this part of a rate leaves no tokens to wait for.
_PRESSED = 0.95
# Slower than the share of requests that may change region in two seconds.
_LOCALITY_STEP = 0.03
_EXPECTED_UTILIZATION = 0.65
_DIGITS = 2


@dataclass(slots=True)
class RoundParts:
    """Books that a round reads and writes."""

    knowledge: Knowledge
    followers: Followers
    readiness: Readiness
    state: PlacerState
    limiter: CustomerLimiter
    demand: DemandMeter
    retries: RetryLimiter
    tasks: TaskGroup


@dataclass(slots=True)
class Rounds:
    """Sends heartbeats and takes those of the others.

    :param started_at: Unix time of this start in milliseconds.
    """

    parts: RoundParts
    settings: FleetSettings
    clock: Clock
    started_at: int
    endpoint: DatagramEndpoint | None = None
    _sequence: int = 0
    _busy: dict[str, float] = field(default_factory=dict)
    _limited: set[str] = field(default_factory=set)

    async def run(self) -> None:
        """Run a round each heartbeat interval, until cancelled."""
        while True:
            self.run_once()
            await asyncio.sleep(self.settings.heartbeat_s)

    def run_once(self) -> None:
        """Measure, share limits anew, and tell the other hosts."""
        now = self.clock.monotonic()
        self._measure_busy()
        self._plan_localities(now)
        self._share_limits(now)
        self.send_heartbeats()
        self.parts.knowledge.parts.connections.expire()

    def send_heartbeats(self) -> None:
        """Tell all registered hosts about this one."""
        if self.endpoint is None:
            return
        self._sequence += 1
        content = encode(self._create_heartbeat())
        for peer in self.parts.knowledge.parts.fleet.peers.values():
            record = peer.record
            self.endpoint.send(content, record.ip, record.internal_port)

    def receive(self, content: bytes) -> None:
        """Take a datagram of another host."""
        heartbeat = decode_heartbeat(content)
        if heartbeat is None:
            return
        fleet = self.parts.knowledge.parts.fleet
        peer = fleet.hear(heartbeat, self.clock.monotonic())
        if peer is not None:
            compare = self.parts.followers.compare
            self.parts.tasks.start(compare(peer.record, heartbeat.versions))

    def _create_heartbeat(self) -> Heartbeat:
        now = self.clock.monotonic()
        demand = self.parts.demand.rates(now)
        return Heartbeat(
            name=self.parts.knowledge.parts.fleet.own.name,
            started_at=self.started_at,
            sequence=self._sequence,
            is_ready=self.parts.readiness.is_ready,
            versions=self.parts.followers.versions,
            demand=_round_all(demand),
            busy=_round_all(self._busy),
        )

    def _measure_busy(self) -> None:
        servers = self.parts.knowledge.parts.servers
        for pool in servers.pools:
            busy = sum(
                self.parts.state.find_load(one.entry.name).in_flight
                for one in servers.select(pool)
            )
            known = self._busy.get(pool, 0)
            self._busy[pool] = known + _BUSY_MEMORY * (busy - known)

    def _plan_localities(self, now: float) -> None:
        books = self.parts.knowledge.parts
        known = self.parts.state.localities
        region = books.fleet.own.region
        planned: dict[str, Locality] = {}
        for pool in books.servers.pools:
            plan = plan_locality(region, self._find_rooms(pool, now))
            planned[pool] = _approach(known.get(pool), plan)
        self.parts.state.localities = planned

    def _find_rooms(self, pool: str, now: float) -> Mapping[str, RegionRoom]:
        """Return slots and demand of each region for a pool.

        Until traffic is measured, all regions are taken to want the same.
        """
        books = self.parts.knowledge.parts
        slots: dict[str, float] = {}
        for server in books.servers.select(pool):
            found = slots.get(server.region, 0)
            slots[server.region] = found + server.entry.slots
        demand = self._find_demand(pool, now)
        regions = {*slots, *demand}
        if sum(demand.values()) < 1:
            expected = _EXPECTED_UTILIZATION * sum(slots.values())
            demand = {name: expected / len(regions) for name in regions}
        return {
            name: RegionRoom(slots.get(name, 0), demand.get(name, 0))
            for name in regions
        }

    def _find_demand(self, pool: str, now: float) -> dict[str, float]:
        fleet = self.parts.knowledge.parts.fleet
        demand = {fleet.own.region: self._busy.get(pool, 0)}
        for peer in fleet.list_heard(now):
            if peer.heartbeat is not None:
                region = peer.record.region
                found = demand.get(region, 0)
                demand[region] = found + peer.heartbeat.busy.get(pool, 0)
        return demand

    def _share_limits(self, now: float) -> None:
        fleet = self.parts.knowledge.parts.fleet
        self.parts.retries.resize(len(fleet.names))
        index = self.parts.knowledge.index
        if index is None:
            return
        limited = {
            name: rule for name, rule in index.customers.items() if rule.rate > 0
        }
        for gone in self._limited - limited.keys():
            self.parts.limiter.release(gone)
        self._limited = set(limited)
        own = fleet.own.name
        for name, rule in limited.items():
            demands = self._find_demands(name, now)
            part = divide_rate(rule.rate, demands, own)
            burst = rule.burst * part / rule.rate
            self.parts.limiter.resize(name, part, burst, now)
            asked = sum(one.rate or 0 for one in demands.values())
            is_pressed = asked >= _PRESSED * rule.rate
            self.parts.limiter.press(name, is_pressed=is_pressed)

    def _find_demands(self, customer: str, now: float) -> dict[str, HostDemand]:
        fleet = self.parts.knowledge.parts.fleet
        found = {
            fleet.own.name: HostDemand(self.parts.demand.rate(customer, now)),
        }
        for name, peer in fleet.peers.items():
            rate = None
            if peer.heartbeat is not None and peer.is_heard(now, _DEMAND_AGE_S):
                rate = peer.heartbeat.demand.get(customer, 0)
            found[name] = HostDemand(rate)
        return found


def _approach(known: Locality | None, plan: Locality) -> Locality:
    """Move towards a plan by a bounded step."""
    if known is None:
        return plan
    step = plan.local_share - known.local_share
    bounded = max(-_LOCALITY_STEP, min(_LOCALITY_STEP, step))
    return Locality(known.local_share + bounded, plan.spare)


def _round_all(rates: Mapping[str, float]) -> dict[str, float]:
    return {name: round(rate, _DIGITS) for name, rate in rates.items()}
