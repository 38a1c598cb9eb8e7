"""Events as a bounded share of requests at one host."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ProportionLimit:
    """Highest number of events in any window.

    :param ratio: events allowed for each request.
    :param extra: events allowed beyond the ratio.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


@dataclass(slots=True)
class ProportionLimiter:
    """Limits events to a share of the requests in a sliding window.

    >>> limiter = ProportionLimiter(ProportionLimit(0.5, 1, window_s=10))
    >>> limiter.note_request(now=1)
    >>> limiter.note_request(now=1)
    >>> [limiter.spend(now=1) for _turn in range(3)]
    [True, True, False]
    """

    limit: ProportionLimit
    # Times in the window, monotonic seconds.
    _requests: deque[float] = field(default_factory=deque)
    _events: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._forget_old(now)
        self._requests.append(now)

    def spend(self, now: float) -> bool:
        """Count an event if it is within the limit; return whether it is."""
        self._forget_old(now)
        allowed = self.limit.ratio * len(self._requests) + self.limit.extra
        if len(self._events) + 1 > allowed:
            return False
        self._events.append(now)
        return True

    def _forget_old(self, now: float) -> None:
        oldest = now - self.limit.window_s
        for times in (self._requests, self._events):
            while times and times[0] <= oldest:
                times.popleft()
