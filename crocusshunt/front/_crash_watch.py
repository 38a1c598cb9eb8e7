"""Search for requests under which backend servers crash."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field

from crocusshunt.core import Clock, rank_by_rendezvous
from crocusshunt.crashes import (
    START_SEPARATOR,
    CrashLedger,
    CrashReport,
    CrashSettings,
    Origin,
)
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._given_up import GivenUpRequests
from crocusshunt.front._isolation_watch import IsolationWatch
from crocusshunt.front._server_probe import ServerProbe
from crocusshunt.front._tracked_attempts import TrackedAttempts
from crocusshunt.logs import log_event
from crocusshunt.placement import TrackedServer
from crocusshunt.services import TaskGroup


def _create_ledger() -> CrashLedger:
    return CrashLedger(CrashSettings())


@dataclass(slots=True)
class CrashWatch:
    """Quarantines requests under which one server after the other crashes.

    A request that lost its connection is suspect if its server accepts no new
    connection while another server does. The hosts tell each other, since a
    caller may repeat a request at any host. Where different requests of one
    origin crash servers, those of it that no server answered yet are isolated.

    :param has_news: whether other hosts should hear of a crash at once.
    """

    cluster: ClusterState
    tasks: TaskGroup
    clock: Clock
    isolation: IsolationWatch
    ledger: CrashLedger = field(default_factory=_create_ledger)
    attempts: TrackedAttempts = field(default_factory=TrackedAttempts)
    has_news: bool = False
    _suspects: dict[str, dict[str, Origin]] = field(default_factory=dict)
    _given_up: GivenUpRequests = field(default_factory=GivenUpRequests)

    def begin_trial(self, fingerprint: str) -> bool:
        """Tell whether a quarantined request is to be sent once more.

        One host, which rendezvous hashing names, does so for all.
        """
        if not self.is_quarantined(fingerprint):
            return False
        fleet = self.cluster.fleet
        chosen = rank_by_rendezvous(fingerprint, fleet.names)[0]
        if chosen != fleet.own.name:
            return False
        is_begun = self.ledger.begin_trial(fingerprint, self.clock.monotonic())
        if is_begun:
            log_event('quarantined request tried', fingerprint=fingerprint)
        return is_begun

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request must not be sent to a server."""
        return fingerprint in self.ledger.quarantined

    def count_quarantined(self) -> int:
        """Return how many requests must not be sent to a server."""
        return len(self.ledger.quarantined)

    def estimate_release(self, fingerprint: str) -> float:
        """Return when a request may be sent once more, in seconds."""
        return self.ledger.estimate_release(fingerprint, self.clock.monotonic())

    def note_answer(self, fingerprint: str) -> None:
        """Record that a server answered a request."""
        if self.ledger.is_empty:
            return
        self.ledger.note_served(fingerprint, self.clock.monotonic())
        self.isolation.note_answer(fingerprint)

    def note_lost_connection(
        self, fingerprint: str, origin: Origin, server: TrackedServer
    ) -> None:
        """Find out whether a server crashed while it had a request."""
        name = server.entry.name
        suspects = self._suspects.get(name)
        if suspects is None:
            self._suspects[name] = {fingerprint: origin}
            self.tasks.start(self._investigate(server))
        else:
            suspects[fingerprint] = origin

    def note_given_up(
        self, fingerprint: str, origin: Origin, server: TrackedServer
    ) -> None:
        """Record that a server has a request that nobody waits for.

        It is suspect, too, if the server crashes within a moment.
        """
        now = self.clock.monotonic()
        self._given_up.note(_name_start(server), fingerprint, origin, now)

    def merge(
        self, reports: Sequence[CrashReport], now: float, *, passes_on: bool
    ) -> None:
        """Record the crashes that another host reports.

        :param passes_on: whether the host that speaks for this region tells
            others at once.
        """
        known = self.ledger.quarantined
        is_news = self.ledger.merge(reports, now)
        if is_news:
            self._blame_given_up(reports, now)
            self.isolation.update(self.ledger.group_by_origin())
        if is_news and passes_on and self.cluster.fleet.is_summary_sender(now):
            self.has_news = True
        self._apply_changes(known)

    def export(self, now: float) -> list[CrashReport]:
        """Return the crashes that other hosts are told.

        The host that speaks for its region also tells those that it heard of,
        so that a host that just started learns them.
        """
        if self.cluster.fleet.is_summary_sender(now):
            return self.ledger.export_all(now)
        return self.ledger.export_own(now)

    def expire(self, now: float) -> None:
        """Forget crashes that no longer count."""
        known = self.ledger.quarantined
        self.ledger.expire(now)
        self._given_up.expire(now)
        self._apply_changes(known)

    async def _investigate(self, server: TrackedServer) -> None:
        lost_at = self.clock.monotonic()
        name = server.entry.name
        try:
            has_crashed = await self._has_crashed(server)
        finally:
            suspects = self._suspects.pop(name)
        if not has_crashed:
            return
        known = self.ledger.quarantined
        crash = _name_start(server)
        suspects |= self._given_up.find(crash, lost_at)
        for fingerprint, origin in suspects.items():
            self.has_news |= self.ledger.note_crash(
                fingerprint, crash, lost_at, is_own=True, origin=origin
            )
        self.isolation.update(self.ledger.group_by_origin())
        log_event(
            'server crashed under requests',
            logging.WARNING,
            server=name,
            fingerprints=sorted(suspects),
        )
        self._apply_changes(known)

    def _blame_given_up(
        self, reports: Sequence[CrashReport], now: float
    ) -> None:
        """Count the crashes that other hosts saw for requests given up here."""
        crashes = {
            server: now - age_s
            for report in reports
            for server, age_s in report.ages_s.items()
        }
        for server, at in crashes.items():
            for fingerprint, origin in self._given_up.find(server, at).items():
                self.has_news |= self.ledger.note_crash(
                    fingerprint, server, at, is_own=True, origin=origin
                )

    async def _has_crashed(self, server: TrackedServer) -> bool:
        """Tell whether a server is gone and this host is not cut off."""
        probe = ServerProbe(self.cluster)
        if await probe.is_reachable(server):
            return False
        return await probe.is_any_reachable(besides=server.entry.name)

    def _apply_changes(self, known: frozenset[str]) -> None:
        """Act on requests that are quarantined or released now.

        :param known: those that were quarantined before.
        """
        quarantined = self.ledger.quarantined
        if quarantined == known:
            return
        for added in sorted(quarantined - known):
            log_event(
                'request quarantined',
                logging.WARNING,
                fingerprint=added,
                crashes=self.ledger.count_crashes(added),
            )
            self.attempts.end(added)
        for released in sorted(known - quarantined):
            log_event('request released', fingerprint=released)


def _name_start(server: TrackedServer) -> str:
    """Return the name of a server with its start."""
    entry = server.entry
    return f'{entry.name}{START_SEPARATOR}{entry.started_ms}'
