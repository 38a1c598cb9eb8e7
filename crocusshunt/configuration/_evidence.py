"""Evidence of how up to date a configuration is."""

from dataclasses import dataclass

from crocusshunt.core import Clock


@dataclass(frozen=True, slots=True)
class Evidence:
    """Statement that a revision was the newest one some seconds ago.

    :param revision: the revision that was the newest.
    :param age: seconds since a moment at which it was the newest.
    """

    revision: int
    age: float


class EvidenceTracker:
    """Keeps the most recent evidence and measures its age.

    Hosts exchange ages, never times of day. Each host adds the time elapsed
    on its own monotonic clock since before it sent its request, so
    differences between the hosts' clocks do not matter and an age is never
    understated.

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
        self._evidence_time = float('-inf')

    def record(self, evidence: Evidence, asked_at: float) -> None:
        """Keep evidence if it is more recent than the evidence kept so far.

        :param asked_at: monotonic time in seconds before the request for
            the evidence was sent.
        """
        evidence_time = asked_at - evidence.age
        if evidence_time > self._evidence_time:
            self._evidence_time = evidence_time
            self._revision = evidence.revision

    def measure_age(self, revision: int) -> float:
        """Return the age in seconds of the evidence for a revision.

        :param revision: revision in force here. If the evidence is about a
            newer revision, this one is outdated and the age is infinite.
        """
        if self._revision > revision:
            return float('inf')
        return self._clock.monotonic() - self._evidence_time
