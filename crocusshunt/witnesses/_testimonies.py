"""Testimonies that a host has received, and what a quorum of them shows."""

from collections.abc import Collection
from dataclasses import dataclass, replace

from crocusshunt.core import Clock
from crocusshunt.witnesses._announcements import Testimony

_MAX_AGE_S = 60
_NO_EVIDENCE = float('inf')


@dataclass(frozen=True, slots=True)
class Suspension:
    """Keys and backend servers that pending changes may have withdrawn.

    :param keys: names of the keys.
    :param servers: names of the backend servers.
    """

    keys: frozenset[str] = frozenset()
    servers: frozenset[str] = frozenset()


class QuorumTracker:
    """Keeps the most recent testimony of each witness.

    Only ages are exchanged between hosts; here they are converted to times of
    the local monotonic clock, so clock differences do not matter.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> tracker = QuorumTracker(clock)
    >>> for address in ('a', 'b'):
    ...     tracker.add(Testimony(address, 4, 7, age=0.5), asked_at=0)
    >>> clock.advance(1)
    >>> tracker.measure_quorum_age(4, ('a', 'b', 'c'))
    1.5
    >>> tracker.measure_quorum_age(4, ('a', 'c', 'd'))
    inf
    """

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without testimonies."""
        self._clock = clock
        self._entries: dict[str, tuple[float, Testimony]] = {}

    def add(self, testimony: Testimony, asked_at: float) -> None:
        """Store a testimony unless a more recent one of its witness is stored.

        :param asked_at: monotonic time in seconds, taken before the request
            for the testimony was sent.
        """
        valid_at = asked_at - testimony.age
        stored = self._entries.get(testimony.address)
        if stored is None or valid_at > stored[0]:
            self._entries[testimony.address] = (valid_at, testimony)

    def list_current(self) -> tuple[Testimony, ...]:
        """Return the stored testimonies with their present ages.

        Testimonies older than 60 s are dropped.
        """
        now = self._clock.monotonic()
        self._entries = {
            address: entry
            for address, entry in self._entries.items()
            if now - entry[0] < _MAX_AGE_S
        }
        return tuple(
            replace(testimony, age=now - valid_at)
            for valid_at, testimony in self._entries.values()
        )

    def measure_quorum_age(
        self,
        revision: int,
        witnesses: Collection[str],
    ) -> float:
        """Return the age in seconds of a majority that confirms a revision.

        A testimony confirms a revision if its witness knew of no newer
        accepted one and of no pending change of the witnesses themselves.
        Every change is announced to a majority of the witnesses of the
        revision before it, so any majority includes a witness that knows of
        it; see :meth:`find_suspension` for pending changes. The age of a
        majority is that of its oldest testimony; the most recent majority
        counts, and without one the age is infinite.

        :param revision: revision in force on this host.
        :param witnesses: addresses of that revision's witnesses.
        """
        if not witnesses:
            return _NO_EVIDENCE
        confirmed_at = sorted(
            valid_at
            for address, (valid_at, testimony) in self._entries.items()
            if address in witnesses and _confirms(testimony, revision)
        )
        quorum = len(witnesses) // 2 + 1
        if len(confirmed_at) < quorum:
            return _NO_EVIDENCE
        return self._clock.monotonic() - confirmed_at[-quorum]

    def find_suspension(self, revision: int, within_s: float) -> Suspension:
        """Return the keys and servers that pending changes may have withdrawn.

        :param revision: revision in force on this host.
        :param within_s: age limit in seconds of the testimonies that are
            taken into account.
        """
        since = self._clock.monotonic() - within_s
        recent = [
            testimony
            for valid_at, testimony in self._entries.values()
            if valid_at >= since
        ]
        # A newer version of the head row settles a pending change. Only if the
        # revision in that head row is in force on this host is it certain
        # that the change did not take effect.
        settled = max(
            (one.version for one in recent if one.revision <= revision),
            default=0,
        )
        pending = [
            announced
            for testimony in recent
            for announced in testimony.pending
            if announced.revision > revision and announced.base >= settled
        ]
        return Suspension(
            frozenset(name for one in pending for name in one.keys),
            frozenset(name for one in pending for name in one.servers),
        )

    def find_newest_revision(self) -> int:
        """Return the newest revision that any witness knows to be accepted."""
        entries = self._entries.values()
        return max((one.revision for _valid_at, one in entries), default=0)


def _confirms(testimony: Testimony, revision: int) -> bool:
    if testimony.revision > revision:
        return False
    return not any(
        announced.moves_witnesses and announced.revision > revision
        for announced in testimony.pending
    )
