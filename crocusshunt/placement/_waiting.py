"""Order of the requests that wait at a host for a free slot."""

from bisect import insort
from collections.abc import Collection
from dataclasses import dataclass, field

# Other hosts release slots unseen by this one, so a waiting request looks
# again after the expected time of the next release, within these bounds.
_MIN_PAUSE_S = 0.01
_MAX_PAUSE_S = 0.03


@dataclass(frozen=True, slots=True, order=True)
class WaitingRank:
    """Place of a request among those that wait.

    :param urgency: priorities of the request; smaller is more urgent.
    :param objective_at: when its latency objective is missed, monotonic
        seconds.
    :param number: distinguishes requests that are otherwise equal.
    """

    urgency: tuple[int, ...]
    objective_at: float
    number: int


@dataclass(frozen=True, slots=True)
class _Waiting:
    rank: WaitingRank
    servers: frozenset[str]


@dataclass(slots=True)
class WaitingLine:
    """Requests that wait for a slot, the most urgent first.

    Load pattern: short bursts at a server whose requests take tens of
    milliseconds. A request that looks for room at fixed intervals finds the
    released slot taken by one that just arrived, whatever its urgency, and
    leaves the slot idle meanwhile. Here a released slot is offered to the
    most urgent request that may use it, and among equals to the one whose
    objective ends first.

    >>> line = WaitingLine()
    >>> line.enter(WaitingRank((2,), 5.0, 1), {'s1'})
    >>> line.enter(WaitingRank((0,), 9.0, 2), {'s1', 's2'})
    >>> line.find_first('s1').number
    2
    >>> line.find_first('s3') is None
    True
    """

    _waiting: list[_Waiting] = field(default_factory=list)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def enter(self, rank: WaitingRank, servers: Collection[str]) -> None:
        """Add a request that waits for one of some servers."""
        insort(
            self._waiting,
            _Waiting(rank, frozenset(servers)),
            key=lambda one: one.rank,
        )

    def leave(self, rank: WaitingRank) -> None:
        """Remove a request."""
        self._waiting = [one for one in self._waiting if one.rank != rank]

    def find_first(self, server: str) -> WaitingRank | None:
        """Return the request that a released slot of a server is for."""
        for one in self._waiting:
            if server in one.servers:
                return one.rank
        return None


def compute_wait_limit(
    objective_left_s: float, fastest_s: float, min_wait_s: float
) -> float:
    """Return how long a request may wait for a slot, in seconds.

    It waits as long as it can still meet its objective. After that its slot
    would be taken from a request that still meets its own, so it is refused.

    :param objective_left_s: time until its objective is missed.
    :param fastest_s: its expected time once it has a slot, with the network.
    :param min_wait_s: shortest wait; the expected time is only an estimate.

    >>> round(compute_wait_limit(0.2, 0.08, 0.02), 2)
    0.12
    >>> compute_wait_limit(0.2, 0.3, 0.02)
    0.02
    """
    return max(min_wait_s, objective_left_s - fastest_s)


def compute_pause(next_slot_s: float) -> float:
    """Return when a waiting request looks for a slot again, in seconds.

    :param next_slot_s: expected time until a slot is released.

    >>> compute_pause(0.02), compute_pause(0), compute_pause(1)
    (0.02, 0.01, 0.03)
    """
    return max(_MIN_PAUSE_S, min(_MAX_PAUSE_S, next_slot_s))
