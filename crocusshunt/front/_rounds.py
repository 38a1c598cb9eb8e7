"""What a host does about once a second, and what it tells the others."""

import asyncio
import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.fleet import (
    DatagramEndpoint,
    FleetSettings,
    Heartbeat,
    HostRecord,
    Message,
    RegionSummary,
    decode_message,
    encode,
)
from crocusshunt.front._followers import Followers
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.front._limits import SharedLimits
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._readiness import Readiness
from crocusshunt.logs import log_event
from crocusshunt.services import TaskGroup

_DIGITS = 2


@dataclass(slots=True)
class Rounds:
    """Sends heartbeats and takes those of the others.

    :param started_at: Unix time of this start in milliseconds.
    """

    knowledge: Knowledge
    followers: Followers
    readiness: Readiness
    planner: LocalityPlanner
    limits: SharedLimits
    tasks: TaskGroup
    settings: FleetSettings
    clock: Clock
    started_at: int
    endpoint: DatagramEndpoint | None = None
    _sequence: int = 0
    _heard: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Run a round each heartbeat interval, until cancelled."""
        while True:
            self.run_once()
            await asyncio.sleep(self.settings.heartbeat_s)

    def run_once(self) -> None:
        """Measure, divide limits anew, and tell the other hosts."""
        now = self.clock.monotonic()
        self.planner.plan(now)
        self.limits.divide(now)
        self.send_heartbeats()
        self._note_hosts(now)
        self.knowledge.connections.expire()

    def send_heartbeats(self) -> None:
        """Tell the region about this host, or the others about the region."""
        now = self.clock.monotonic()
        fleet = self.knowledge.fleet
        self._sequence += 1
        self._send(self._create_heartbeat(now), fleet.neighbours)
        if fleet.speaks_for_region(now):
            self._send(self._create_summary(now), fleet.strangers)

    def receive(self, content: bytes) -> None:
        """Take a datagram of another host."""
        message = decode_message(content)
        if message is None:
            return
        peer = self.knowledge.fleet.hear(message, self.clock.monotonic())
        if peer is not None:
            compare = self.followers.compare
            self.tasks.start(compare(peer.record, message.versions))

    def _send(self, message: Message, records: Iterable[HostRecord]) -> None:
        if self.endpoint is None:
            return
        content = encode(message)
        for record in records:
            self.endpoint.send(content, record.ip, record.internal_port)

    def _note_hosts(self, now: float) -> None:
        """Log hosts that fell silent or are heard again."""
        fleet = self.knowledge.fleet
        heard = frozenset(one.record.name for one in fleet.list_heard(now))
        for silent in sorted(self._heard - heard):
            log_event('host silent', logging.WARNING, host=silent)
        for found in sorted(heard - self._heard):
            log_event('host heard', host=found)
        self._heard = heard

    def _create_heartbeat(self, now: float) -> Heartbeat:
        return Heartbeat(
            name=self.knowledge.fleet.own.name,
            started_at=self.started_at,
            sequence=self._sequence,
            is_ready=self.readiness.is_ready,
            versions=self.followers.versions,
            demand=_round_all(self.limits.demand.rates(now)),
            busy=_round_all(self.planner.busy),
        )

    def _create_summary(self, now: float) -> RegionSummary:
        fleet = self.knowledge.fleet
        return RegionSummary(
            name=fleet.own.name,
            started_at=self.started_at,
            sequence=self._sequence,
            region=fleet.own.region,
            hosts=len(fleet.list_heard(now)) + 1,
            versions=self.followers.versions,
            demand=_round_all(self.limits.sum_demand(now)),
            busy=_round_all(self.planner.sum_busy(now)),
        )


def _round_all(rates: Mapping[str, float]) -> dict[str, float]:
    return {name: round(rate, _DIGITS) for name, rate in rates.items()}
