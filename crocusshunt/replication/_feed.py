"""The configuration that a process holds, and its answers to followers."""

import asyncio
from collections.abc import Callable

from result import Err

from crocusshunt.configuration import (
    Change,
    Configuration,
    Evidence,
    EvidenceTracker,
    History,
    decode_row,
    list_rows,
)
from crocusshunt.core import Clock
from crocusshunt.logs import log_event
from crocusshunt.messages import Body, ChangeFeed, FetchChanges, SnapshotFeed
from crocusshunt.routing import Tables
from crocusshunt.witnesses import QuorumTracker, Suspension, Testimony, Witness

_RECENT_S = 5
Listener = Callable[[Configuration], None]


class Feed:
    """Holds the configuration in force and tells listeners of news."""

    def __init__(self, clock: Clock) -> None:
        """Start before the first revision, without evidence."""
        self.evidence = EvidenceTracker(clock)
        self._history = History()
        self._listeners: list[Listener] = []
        self._news = asyncio.Event()
        self._testimonies = QuorumTracker(clock)
        self.witness_addresses: frozenset[str] = frozenset()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._history.configuration

    def measure_evidence_age(self) -> float:
        """Return the age in seconds of the evidence for what is held.

        The evidence is the store's or that of a quorum of witnesses.
        """
        revision = self.configuration.revision
        quorum_age = self._testimonies.measure_quorum_age(
            revision, self.witness_addresses
        )
        return min(self.evidence.measure_age(revision), quorum_age)

    def find_suspension(self, within_s: float = _RECENT_S) -> Suspension:
        """Return what announced changes may already have withdrawn.

        :param within_s: age in seconds up to which evidence is trusted.
        """
        return self._testimonies.find_suspension(
            self.configuration.revision,
            within_s,
        )

    def is_behind(self) -> bool:
        """Tell whether a witness knows of a newer revision."""
        return (
            self._testimonies.find_newest_revision()
            > self.configuration.revision
        )

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each new configuration."""
        self._listeners.append(listener)

    def accept_changes(
        self,
        changes: tuple[Change, ...],
        evidence: Evidence,
        asked_at: float,
    ) -> bool:
        """Apply changes and keep the evidence that came with them.

        :param asked_at: monotonic time before the question was sent.
        :return: whether every change was applied.
        """
        before = self.configuration.revision
        is_applied = all(self._append(change) for change in changes)
        self.evidence.record(evidence, asked_at)
        self._announce(before)
        return is_applied

    def accept_snapshot(self, snapshot: SnapshotFeed, asked_at: float) -> bool:
        """Replace what is held by a newer snapshot.

        :return: whether the snapshot was readable.
        """
        rows = [
            decode_row(edit.table, edit.name, edit.after or '')
            for edit in snapshot.rows
        ]
        if any(row.is_err() for row in rows):
            log_event('snapshot refused', revision=snapshot.revision)
            return False
        tables = Tables().put(*(row.unwrap() for row in rows))
        self.install(
            Configuration(snapshot.revision, snapshot.digest, tables),
        )
        self.evidence.record(snapshot.evidence, asked_at)
        return True

    def install(self, snapshot: Configuration) -> None:
        """Replace what is held by a newer configuration."""
        before = self.configuration.revision
        self._history.install(snapshot)
        self._announce(before)

    def accept_testimonies(
        self,
        testimonies: tuple[Testimony, ...],
        asked_at: float,
    ) -> None:
        """Keep the youngest testimony of each witness.

        :param asked_at: monotonic time before the question was sent.
        """
        for testimony in testimonies:
            self._testimonies.add(testimony, asked_at)

    async def answer(self, question: FetchChanges) -> Body:
        """Return what a follower lacks, waiting for news if it has all."""
        if question.held >= self.configuration.revision:
            await self._wait(question.wait_s)
        held = self.configuration
        age = self.evidence.measure_age(held.revision)
        evidence = Evidence(held.revision, age)
        testimonies = self._testimonies.list_current()
        changes = self._history.list_changes_after(question.held)
        if isinstance(changes, Err):
            return _snapshot(held, evidence, testimonies)
        return ChangeFeed(changes.ok_value, evidence, testimonies)

    def _append(self, change: Change) -> bool:
        appended = self._history.append(change)
        if isinstance(appended, Err):
            error = appended.err_value
            log_event('change refused', error=error.describe())
        return appended.is_ok()

    async def _wait(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._news.wait(), seconds)
        except TimeoutError:
            return

    def _announce(self, before: int) -> None:
        if self.configuration.revision == before:
            return
        witnesses = self.configuration.tables.select(Witness)
        self.witness_addresses = frozenset(one.address for one in witnesses)
        for listener in self._listeners:
            listener(self.configuration)
        self._news.set()
        self._news = asyncio.Event()


def _snapshot(
    held: Configuration,
    evidence: Evidence,
    testimonies: tuple[Testimony, ...],
) -> SnapshotFeed:
    return SnapshotFeed(
        held.revision,
        held.digest,
        list_rows(held.tables),
        evidence,
        testimonies,
    )
