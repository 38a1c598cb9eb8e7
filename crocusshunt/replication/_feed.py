"""The configuration replica of a process, and its answers to followers."""

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

_MAX_TESTIMONY_AGE_S = 5
Listener = Callable[[Configuration], None]


class Feed:
    """Replica of the configuration, with the evidence that it is the newest.

    Listeners in the process are called with each new configuration; other
    processes that follow this one are sent the changes that they lack.

    :ivar evidence: evidence that was obtained by reading the store.
    :ivar witness_addresses: addresses of the configured witnesses.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty replica at revision 0, without evidence."""
        self.evidence = EvidenceTracker(clock)
        self._history = History()
        self._listeners: list[Listener] = []
        self._changed = asyncio.Event()
        self._testimonies = QuorumTracker(clock)
        self.witness_addresses: frozenset[str] = frozenset()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._history.configuration

    def measure_evidence_age(self) -> float:
        """Return the age in seconds of the evidence for the configuration.

        It is the time since the configuration was last known to be the
        newest, confirmed by the store or by a majority of the witnesses,
        whichever is more recent; infinite without such evidence.
        """
        revision = self.configuration.revision
        quorum_age = self._testimonies.measure_quorum_age(
            revision, self.witness_addresses
        )
        return min(self.evidence.measure_age(revision), quorum_age)

    def find_suspension(
        self, within_s: float = _MAX_TESTIMONY_AGE_S
    ) -> Suspension:
        """Return the keys and servers that pending changes may have withdrawn.

        :param within_s: age limit in seconds of the testimonies that are
            taken into account.
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
        """Register a function that is called with each new configuration."""
        self._listeners.append(listener)

    def accept_changes(
        self,
        changes: tuple[Change, ...],
        evidence: Evidence,
        asked_at: float,
    ) -> bool:
        """Apply changes and record the evidence received with them.

        :param evidence: evidence from the store or from another process.
        :param asked_at: monotonic time in seconds, taken before the request
            was sent.
        :return: whether every change was applied.
        """
        previous = self.configuration.revision
        is_applied = all(self._append(change) for change in changes)
        self.evidence.record(evidence, asked_at)
        self._notify_listeners(previous)
        return is_applied

    def accept_snapshot(self, snapshot: SnapshotFeed, asked_at: float) -> bool:
        """Replace the configuration by a newer snapshot from another process.

        :param asked_at: monotonic time in seconds, taken before the request
            was sent.
        :return: whether all rows of the snapshot could be decoded.
        """
        rows = [
            decode_row(edit.table, edit.name, edit.after or '')
            for edit in snapshot.rows
        ]
        if any(row.is_err() for row in rows):
            log_event(
                'undecodable snapshot refused', revision=snapshot.revision
            )
            return False
        tables = Tables().put(*(row.unwrap() for row in rows))
        self.install(
            Configuration(snapshot.revision, snapshot.digest, tables),
        )
        self.evidence.record(snapshot.evidence, asked_at)
        return True

    def install(self, snapshot: Configuration) -> None:
        """Replace the configuration if the given one is newer."""
        previous = self.configuration.revision
        self._history.install(snapshot)
        self._notify_listeners(previous)

    def accept_testimonies(
        self,
        testimonies: tuple[Testimony, ...],
        asked_at: float,
    ) -> None:
        """Record testimonies; the most recent one of each witness is kept.

        :param asked_at: monotonic time in seconds, taken before the request
            was sent.
        """
        for testimony in testimonies:
            self._testimonies.add(testimony, asked_at)

    async def answer(self, request: FetchChanges) -> Body:
        """Return the changes that a follower lacks.

        If it lacks none, wait for a new one as long as the request allows. If
        the changes that it lacks are no longer kept, return a snapshot.
        """
        if request.held >= self.configuration.revision:
            await self._wait_for_change(request.wait_s)
        configuration = self.configuration
        age = self.evidence.measure_age(configuration.revision)
        evidence = Evidence(configuration.revision, age)
        testimonies = self._testimonies.list_current()
        changes = self._history.list_changes_after(request.held)
        if isinstance(changes, Err):
            return _create_snapshot(configuration, evidence, testimonies)
        return ChangeFeed(changes.ok_value, evidence, testimonies)

    def _append(self, change: Change) -> bool:
        appended = self._history.append(change)
        if isinstance(appended, Err):
            error = appended.err_value
            log_event('change could not be applied', error=error.describe())
        return appended.is_ok()

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return

    def _notify_listeners(self, previous: int) -> None:
        if self.configuration.revision == previous:
            return
        witnesses = self.configuration.tables.select(Witness)
        self.witness_addresses = frozenset(one.address for one in witnesses)
        for listener in self._listeners:
            listener(self.configuration)
        self._changed.set()
        self._changed = asyncio.Event()


def _create_snapshot(
    configuration: Configuration,
    evidence: Evidence,
    testimonies: tuple[Testimony, ...],
) -> SnapshotFeed:
    return SnapshotFeed(
        configuration.revision,
        configuration.digest,
        list_rows(configuration.tables),
        evidence,
        testimonies,
    )
