"""Observed network round trips to the regions of backend servers."""

from collections import deque
from dataclasses import dataclass, field

_MAX_SAMPLES_COUNT = 16


@dataclass(slots=True)
class RoundTrips:
    """Shortest recent time to open a connection, by region.

    Opening a connection takes one round trip, and longer where the network or
    the server is busy, so the shortest of the last few times is used. A
    region that was not measured yet counts as near: the first request to it
    measures it.

    Load pattern: regions at any distance. A distance that is assumed too
    large leaves servers of other regions idle; one assumed too small sends
    requests there that then miss their objective.

    >>> trips = RoundTrips()
    >>> trips.estimate('b')
    0
    >>> trips.note('b', 0.030)
    >>> trips.note('b', 0.024)
    >>> trips.note('b', 0.200)
    >>> trips.estimate('b')
    0.024
    """

    _samples: dict[str, deque[float]] = field(default_factory=dict)

    def note(self, region: str, took_s: float) -> None:
        """Record how long it took to open a connection, in seconds."""
        samples = self._samples.setdefault(
            region, deque(maxlen=_MAX_SAMPLES_COUNT)
        )
        samples.append(took_s)

    def estimate(self, region: str) -> float:
        """Return the round trip to a region, in seconds."""
        return min(self._samples.get(region, ()), default=0)
