"""Evidence of how fresh a configuration is."""

from dataclasses import dataclass

from crocusshunt.core import Clock


@dataclass(frozen=True, slots=True)
class Evidence:
    """Statement that a revision was the newest some seconds ago.

    :param revision: the revision.
    :param age: seconds since a moment at which it was the newest.
    """

    revision: int
    age: float


class EvidenceTracker:
    """Keeps the youngest evidence, counted on the local clock only.

    Ages, never times of day, travel between hosts; each hop adds the time
    since before its question was sent, so clock differences between hosts
    do not matter.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> tracker = EvidenceTracker(clock)
    >>> tracker.record(Evidence(4, 0.5), asked_at=clock.monotonic())
    >>> clock.advance(1)
    >>> tracker.measure_age(4)
    1.5
    """

    def __init__(self, clock: Clock) -> None:
        """Start without evidence."""
        self._clock = clock
        self._revision = 0
        self._fresh_at = float('-inf')

    def record(self, evidence: Evidence, asked_at: float) -> None:
        """Keep evidence if it is younger than what is held.

        :param asked_at: monotonic time before the question was sent.
        """
        fresh_at = asked_at - evidence.age
        if fresh_at > self._fresh_at:
            self._fresh_at = fresh_at
            self._revision = evidence.revision

    def measure_age(self, held: int) -> float:
        """Return the age in seconds of the evidence for a held revision.

        :param held: revision in force here; evidence of a newer one does
            not vouch for it.
        """
        if self._revision > held:
            return float('inf')
        return self._clock.monotonic() - self._fresh_at
