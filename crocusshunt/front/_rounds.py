"""What a host does about once a second, and what it tells the others."""

import asyncio
import itertools
import logging
from collections.abc import Mapping
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.fleet import (
    FleetSettings,
    Heartbeat,
    RegionSummary,
    StatusMessage,
    TokenReply,
    TokenRequest,
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
# Between two looks for what should not wait for the next round.
_CHECK_S = 0.2


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
    _was_ready: bool = False
    _has_newcomers: bool = False
    _heard: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Run a round each heartbeat interval, until cancelled.

        Between rounds, tell at once that this host takes requests from now
        on, and divide limits anew soon after a host came up.
        """
        checks = round(self.settings.heartbeat_s / _CHECK_S)
        for check in itertools.count():
            if check % checks:
                self._check_news()
            else:
                self.run_once()
            await asyncio.sleep(_CHECK_S)

    def run_once(self) -> None:
        """Measure, divide limits anew, and tell the other hosts."""
        now = self.clock.monotonic()
        self.planner.plan(now)
        self._divide()
        self.send_heartbeats()
        self._note_hosts(now)
        self.knowledge.connections.expire()
        self.planner.forget_gone()

    def send_heartbeats(self) -> None:
        """Tell the region about this host, or the others about the region."""
        now = self.clock.monotonic()
        fleet = self.knowledge.fleet
        self._sequence += 1
        self._was_ready = self.readiness.is_ready
        self.outbox.send(self._create_heartbeat(now), fleet.same_region_hosts)
        self.planner.state.forget_full()
        if fleet.is_summary_sender(now):
            self.outbox.send(
                self._create_summary(now), fleet.other_region_hosts
            )

    def receive(self, content: bytes) -> None:
        """Take a datagram of another host."""
        message = decode_message(content)
        if message is None:
            log_event('datagram ignored', logging.WARNING, size=len(content))
        elif isinstance(message, TokenRequest):
            self.tokens.answer(message)
        elif isinstance(message, TokenReply):
            self.tokens.receive(message)
        else:
            self._hear(message)

    def _check_news(self) -> None:
        if self._has_newcomers:
            self._has_newcomers = False
            self._divide()
        if self.readiness.is_ready != self._was_ready:
            self.send_heartbeats()

    def _divide(self) -> None:
        is_ready = self.readiness.is_ready
        self.tokens.limits.divide(self.clock.monotonic(), is_ready=is_ready)

    def _is_newcomer(self, message: StatusMessage) -> bool:
        """Tell whether a heartbeat is the first one of its host's start."""
        peer = self.knowledge.fleet.peers.get(message.name)
        if peer is None or not isinstance(message, Heartbeat):
            return False
        known = peer.heartbeat
        return known is None or known.started_at != message.started_at

    def _greet(self, host: str) -> None:
        """Answer a newcomer, so that both know each other."""
        self._has_newcomers = True
        self._sequence += 1
        heartbeat = self._create_heartbeat(self.clock.monotonic())
        self.outbox.send_to(heartbeat, host)

    def _hear(self, message: StatusMessage) -> None:
        now = self.clock.monotonic()
        is_newcomer = self._is_newcomer(message)
        peer = self.knowledge.fleet.handle_message(message, now)
        if is_newcomer:
            self._greet(message.name)
        if peer is not None and isinstance(message, Heartbeat):
            self.planner.take_full(message.full, now)
        if peer is not None:
            compare = self.followers.compare
            self.tasks.start(compare(peer.record, message.versions))

    def _note_hosts(self, now: float) -> None:
        """Log hosts that fell silent or are heard again."""
        fleet = self.knowledge.fleet
        heard = frozenset(one.record.name for one in fleet.list_live(now))
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
            full=self.planner.state.full,
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
