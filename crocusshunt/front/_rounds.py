"""What a host does about once a second, and what it tells the others."""

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.fleet import (
    FleetSettings,
    Heartbeat,
    News,
    RegionSummary,
    TokenAsk,
    TokenGrant,
    decode_message,
)
from crocusshunt.front._followers import Followers
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.front._localities import LocalityPlanner
from crocusshunt.front._outbox import Outbox
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._tokens import TokenDesk
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
    tokens: TokenDesk
    outbox: Outbox
    tasks: TaskGroup
    settings: FleetSettings
    clock: Clock
    started_at: int
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
        self.tokens.limits.divide(now, is_ready=self.readiness.is_ready)
        self.send_heartbeats()
        self._note_hosts(now)
        self.knowledge.connections.expire()

    def send_heartbeats(self) -> None:
        """Tell the region about this host, or the others about the region."""
        now = self.clock.monotonic()
        fleet = self.knowledge.fleet
        self._sequence += 1
        self.outbox.send(self._create_heartbeat(now), fleet.neighbours)
        if fleet.speaks_for_region(now):
            self.outbox.send(self._create_summary(now), fleet.strangers)

    def receive(self, content: bytes) -> None:
        """Take a datagram of another host."""
        message = decode_message(content)
        if message is None:
            log_event('datagram ignored', logging.WARNING, size=len(content))
        elif isinstance(message, TokenAsk):
            self.tokens.answer(message)
        elif isinstance(message, TokenGrant):
            self.tokens.receive(message)
        else:
            self._hear(message)

    def _hear(self, message: News) -> None:
        peer = self.knowledge.fleet.hear(message, self.clock.monotonic())
        if peer is not None:
            compare = self.followers.compare
            self.tasks.start(compare(peer.record, message.versions))

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
            demand=_round_all(self.tokens.limits.demand.rates(now)),
            busy=_round_all(self.planner.busy),
        )

    def _create_summary(self, now: float) -> RegionSummary:
        fleet = self.knowledge.fleet
        region = self.tokens.limits.observe(now).regions[fleet.own.region]
        return RegionSummary(
            name=fleet.own.name,
            started_at=self.started_at,
            sequence=self._sequence,
            region=fleet.own.region,
            hosts=region.hosts,
            versions=self.followers.versions,
            demand=_round_all(region.rates),
            busy=_round_all(self.planner.sum_busy(now)),
        )


def _round_all(rates: Mapping[str, float]) -> dict[str, float]:
    return {name: round(rate, _DIGITS) for name, rate in rates.items()}
