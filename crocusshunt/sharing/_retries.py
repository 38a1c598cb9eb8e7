"""Retry budget: retries as a bounded share of requests, over all hosts.

Each host keeps its own part of a linear bound, so the sum over all hosts, and
over all starts of a host, keeps the whole bound: in any window, a host may use
half of the ratio for each request of that window, half of it for each request
of the window before, and a fixed part of the extra retries. Summed up, that
is at most the ratio times the larger of the two counts, plus the extra,
whichever host took the requests and whatever a host forgot when it ended.

Time is counted in intervals. Those that may lie in a window in part are counted
for the retries; for the requests, those at the ends are left out.
"""

from collections import Counter
from dataclasses import dataclass, field
from itertools import accumulate

from crocusshunt.sharing._growth import DelayedGrowth

# A window consists of so many intervals.
_INTERVAL_COUNT = 40
# Share of the ratio for requests of the same window, and of the one before.
_WINDOW_SHARE = 0.5
# In this time all hosts learn of one that starts or comes back, in seconds.
_JOIN_S = 5


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Highest number of retries to a pool in any window, over all hosts.

    :param ratio: retries allowed for each request.
    :param extra: retries allowed beyond the ratio, divided equally among the
        hosts.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


@dataclass(frozen=True, slots=True)
class RetryUsage:
    """What a host counts in the last window of a pool.

    :param extra: this host's part of the extra retries.
    :param hosts: number of hosts that share them, 0 if it is not known.
    """

    requests: int
    retries: int
    extra: float
    hosts: int


@dataclass(slots=True)
class _PoolHistory:
    """Requests and retries by interval, oldest first."""

    requests: Counter[int] = field(default_factory=Counter)
    retries: Counter[int] = field(default_factory=Counter)

    def forget_before(self, interval: int) -> None:
        """Drop the counts of all intervals before one."""
        for counts in (self.requests, self.retries):
            while counts and next(iter(counts)) < interval:
                counts.pop(next(iter(counts)))


class RetryLimiter:
    """Limits this host's retries to each pool.

    The part of the extra retries is used only after it was this host's for a
    whole window and the time in which all hosts learn of a change: then those
    that had more of it before, and a former process of this host, have used
    theirs in an earlier window.

    >>> limiter = RetryLimiter(RetryLimit(ratio=1, extra=2, window_s=10))
    >>> limiter.divide(hosts=2, now=0)
    >>> for _request in range(4):
    ...     limiter.note_request('verify', now=1)
    >>> [limiter.spend('verify', now=2) for _turn in range(3)]
    [True, True, False]
    >>> limiter.divide(hosts=2, now=16)
    >>> [limiter.spend('verify', now=40) for _turn in range(2)]
    [True, False]
    """

    def __init__(self, limit: RetryLimit) -> None:
        """Start without requests and without extra retries."""
        self._limit = limit
        self._interval_s = limit.window_s / _INTERVAL_COUNT
        self._growth = DelayedGrowth(limit.window_s + _JOIN_S)
        self._is_divided = False
        self._hosts = 0
        self._extra: float = 0
        self._histories: dict[str, _PoolHistory] = {}

    def divide(self, hosts: int, now: float) -> None:
        """Set the number of hosts that share the extra retries.

        :param hosts: 0 if it is not known; this host has no part of them then.
        :param now: monotonic seconds.
        """
        if not self._is_divided:
            self._growth.apply(0, now)
            self._is_divided = True
        self._hosts = hosts
        part = self._limit.extra / hosts if hosts else 0
        self._extra = self._growth.apply(part, now)

    def note_request(self, pool: str, now: float) -> None:
        """Count a request of a caller; its retries are not counted here.

        A request that another host passes on is counted there only.
        """
        interval = self._find_interval(now)
        self._find_history(pool, interval).requests[interval] += 1

    def may_spend(self, pool: str, now: float) -> bool:
        """Tell whether a retry of the limit is left."""
        interval = self._find_interval(now)
        history = self._find_history(pool, interval)
        return self._is_within_limit(history, interval)

    def spend(self, pool: str, now: float) -> bool:
        """Use a retry of the limit; return whether one was left."""
        if not self.may_spend(pool, now):
            return False
        interval = self._find_interval(now)
        self._find_history(pool, interval).retries[interval] += 1
        return True

    def take_back(self, pool: str, spent_at: float) -> None:
        """Stop counting a retry of which nothing was sent.

        :param spent_at: when it was used, monotonic seconds.
        """
        history = self._histories.get(pool)
        interval = self._find_interval(spent_at)
        if history is not None and history.retries[interval]:
            history.retries[interval] -= 1

    def describe(self, pool: str, now: float) -> RetryUsage:
        """Return what is counted in the window that ends now."""
        interval = self._find_interval(now)
        history = self._find_history(pool, interval)
        last = range(interval - _INTERVAL_COUNT, interval + 1)
        return RetryUsage(
            sum(history.requests.get(one, 0) for one in last),
            sum(history.retries.get(one, 0) for one in last),
            self._extra,
            self._hosts,
        )

    def _find_interval(self, now: float) -> int:
        return int(now // self._interval_s)

    def _find_history(self, pool: str, interval: int) -> _PoolHistory:
        history = self._histories.setdefault(pool, _PoolHistory())
        history.forget_before(interval - 2 * _INTERVAL_COUNT)
        return history

    def _is_within_limit(self, history: _PoolHistory, interval: int) -> bool:
        """Tell whether one more retry keeps each window that contains now."""
        intervals = range(interval - 2 * _INTERVAL_COUNT, interval + 1)
        requests = _sum_up(history.requests, intervals)
        retries = _sum_up(history.retries, intervals)
        share = self._limit.ratio * _WINDOW_SHARE
        # Each window is given by the interval in which it begins.
        last = len(intervals)
        for start in range(_INTERVAL_COUNT, last):
            end = min(start + _INTERVAL_COUNT, last)
            counted = requests[end]
            counted -= requests[start - _INTERVAL_COUNT + 1]
            used = retries[-1] - retries[start] + 1
            if used > share * counted + self._extra:
                return False
        return True


def _sum_up(counts: Counter[int], intervals: range) -> list[int]:
    """Return the sums of the counts before each interval, and of all.

    >>> _sum_up(Counter({1: 3, 2: 4}), range(3))
    [0, 0, 3, 7]
    """
    found = (counts.get(one, 0) for one in intervals)
    return list(accumulate(found, initial=0))
