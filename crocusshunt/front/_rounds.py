"""What a host does about once a second, and what it tells the others."""

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass

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
        """Tell all registered hosts about this one."""
        if self.endpoint is None:
            return
        self._sequence += 1
        content = encode(self._create_heartbeat())
        for peer in self.knowledge.fleet.peers.values():
            record = peer.record
            self.endpoint.send(content, record.ip, record.internal_port)

    def receive(self, content: bytes) -> None:
        """Take a datagram of another host."""
        heartbeat = decode_heartbeat(content)
        if heartbeat is None:
            return
        peer = self.knowledge.fleet.hear(heartbeat, self.clock.monotonic())
        if peer is not None:
            compare = self.followers.compare
            self.tasks.start(compare(peer.record, heartbeat.versions))

    def _note_hosts(self, now: float) -> None:
        """Log hosts that fell silent or are heard again."""
        fleet = self.knowledge.fleet
        heard = frozenset(one.record.name for one in fleet.list_heard(now))
        for silent in sorted(self._heard - heard):
            log_event('host silent', logging.WARNING, host=silent)
        for found in sorted(heard - self._heard):
            log_event('host heard', host=found)
        self._heard = heard

    def _create_heartbeat(self) -> Heartbeat:
        demand = self.limits.demand.rates(self.clock.monotonic())
        return Heartbeat(
            name=self.knowledge.fleet.own.name,
            started_at=self.started_at,
            sequence=self._sequence,
            is_ready=self.readiness.is_ready,
            versions=self.followers.versions,
            demand=_round_all(demand),
            busy=_round_all(self.planner.busy),
        )


def _round_all(rates: Mapping[str, float]) -> dict[str, float]:
    return {name: round(rate, _DIGITS) for name, rate in rates.items()}
