"""Testimonies that a host holds, and what a quorum of them shows."""

from collections.abc import Collection
from dataclasses import dataclass, replace

from crocusshunt.core import Clock
from crocusshunt.witnesses._announcements import Testimony

_KEPT_S = 60
_NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class Suspension:
    """Keys and backend servers that pending changes may have withdrawn."""

    keys: frozenset[str] = frozenset()
    servers: frozenset[str] = frozenset()


class QuorumLog:
    """Keeps the youngest testimony of each witness, on the local clock.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> log = QuorumLog(clock)
    >>> for address in ('a', 'b'):
    ...     log.note(Testimony(address, 4, 7, age=0.5), asked_at=0)
    >>> clock.advance(1)
    >>> log.measure_age(4, ('a', 'b', 'c'))
    1.5
    >>> log.measure_age(4, ('a', 'c', 'd'))
    inf
    """

    def __init__(self, clock: Clock) -> None:
        """Start without testimonies."""
        self._clock = clock
        self._held: dict[str, tuple[float, Testimony]] = {}

    def note(self, testimony: Testimony, asked_at: float) -> None:
        """Keep a testimony if it is younger than its witness's last.

        :param asked_at: monotonic time before the question was sent.
        """
        fresh_at = asked_at - testimony.age
        held = self._held.get(testimony.address)
        if held is None or fresh_at > held[0]:
            self._held[testimony.address] = (fresh_at, testimony)

    def collect(self) -> tuple[Testimony, ...]:
        """Return what is held with its age now, for other hosts."""
        now = self._clock.monotonic()
        self._held = {
            address: held
            for address, held in self._held.items()
            if now - held[0] < _KEPT_S
        }
        return tuple(
            replace(testimony, age=now - fresh_at)
            for fresh_at, testimony in self._held.values()
        )

    def measure_age(self, revision: int, seats: Collection[str]) -> float:
        """Return the age in seconds of a quorum that vouches for a revision.

        Every change is announced to a majority of the seats of the revision
        before it, so any majority holds a witness that knows of it.

        :param revision: revision in force here.
        :param seats: addresses of that revision's witnesses.
        """
        if not seats:
            return _NEVER
        vouched_at = sorted(
            fresh_at
            for address, (fresh_at, testimony) in self._held.items()
            if address in seats and _vouches(testimony, revision)
        )
        quorum = len(seats) // 2 + 1
        if len(vouched_at) < quorum:
            return _NEVER
        return self._clock.monotonic() - vouched_at[-quorum]

    def find_suspension(self, revision: int, within_s: float) -> Suspension:
        """Return what pending changes may already have withdrawn.

        :param revision: revision in force here.
        :param within_s: oldest testimonies taken into account, in seconds.
        """
        since = self._clock.monotonic() - within_s
        recent = [
            testimony
            for fresh_at, testimony in self._held.values()
            if fresh_at >= since
        ]
        # Only a head that is in force here settles what was written before.
        settled = max(
            (held.version for held in recent if held.revision <= revision),
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

    def find_newest(self) -> int:
        """Return the newest revision that any witness knows of."""
        held = self._held.values()
        return max((one.revision for _fresh_at, one in held), default=0)


def _vouches(testimony: Testimony, revision: int) -> bool:
    if testimony.revision > revision:
        return False
    return not any(
        announced.moves_witnesses and announced.revision > revision
        for announced in testimony.pending
    )
