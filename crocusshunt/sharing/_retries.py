"""Retry budget: retries as a bounded share of requests, over all hosts."""

from collections import deque
from dataclasses import dataclass, field


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


@dataclass(slots=True)
class _PoolHistory:
    """Times of requests and retries in the window, monotonic seconds."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class RetryUsage:
    """What a host counts in the present window of a pool.

    :param extra: this host's part of the extra retries.
    :param hosts: number of hosts that share them, as this host knows it.
    """

    requests: int
    retries: int
    extra: float
    hosts: int


class RetryLimiter:
    """Limits this host's retries to each pool.

    Each host applies the ratio to its own requests and may use an equal part
    of the extra retries, so all hosts together keep the limit without
    communication.

    >>> limiter = RetryLimiter(RetryLimit(ratio=0.5, extra=2, window_s=10))
    >>> limiter.resize(hosts=2)
    >>> [limiter.spend('verify', now=0) for _turn in range(2)]
    [True, False]
    >>> limiter.note_request('verify', now=1)
    >>> limiter.note_request('verify', now=1)
    >>> limiter.spend('verify', now=1)
    True
    """

    def __init__(self, limit: RetryLimit) -> None:
        """Start without requests, as the only host."""
        self._limit = limit
        self._hosts = 1
        self._histories: dict[str, _PoolHistory] = {}

    def resize(self, hosts: int) -> None:
        """Set the number of hosts that share the extra retries."""
        self._hosts = max(1, hosts)

    def note_request(self, pool: str, now: float) -> None:
        """Count a request for a pool; its retries are not counted here."""
        history = self._find_history(pool, now)
        history.requests.append(now)

    def take_back_request(self, pool: str) -> None:
        """Stop counting the newest request for a pool: another host does.

        >>> limiter = RetryLimiter(RetryLimit(ratio=1, extra=0, window_s=10))
        >>> limiter.note_request('verify', now=1)
        >>> limiter.take_back_request('verify')
        >>> limiter.spend('verify', now=1)
        False
        """
        history = self._histories.get(pool)
        if history is not None and history.requests:
            history.requests.pop()

    def spend(self, pool: str, now: float) -> bool:
        """Use a retry of the budget; return whether one was left."""
        limit = self._limit
        history = self._find_history(pool, now)
        allowed = limit.ratio * len(history.requests)
        allowed += limit.extra / self._hosts
        if len(history.retries) + 1 > allowed:
            return False
        history.retries.append(now)
        return True

    def describe(self, pool: str, now: float) -> RetryUsage:
        """Return what is counted in the present window."""
        history = self._find_history(pool, now)
        return RetryUsage(
            len(history.requests),
            len(history.retries),
            self._limit.extra / self._hosts,
            self._hosts,
        )

    def _find_history(self, pool: str, now: float) -> _PoolHistory:
        history = self._histories.setdefault(pool, _PoolHistory())
        oldest = now - self._limit.window_s
        for times in (history.requests, history.retries):
            while times and times[0] <= oldest:
                times.popleft()
        return history
