"""Retries as a bounded part of requests, over all hosts."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Most retries to a pool in any window, over all hosts.

    :param ratio: retries for each request.
    :param extra: retries beyond the ratio, divided among the hosts.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


@dataclass(slots=True)
class _Account:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryLimiter:
    """Counts this host's requests and retries by pool.

    Each host keeps the ratio by itself and uses an equal part of the rest,
    so all hosts together keep the limit without a word between them.

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
        self._accounts: dict[str, _Account] = {}

    def resize(self, hosts: int) -> None:
        """Divide by another number of hosts."""
        self._hosts = max(1, hosts)

    def note_request(self, pool: str, now: float) -> None:
        """Count a request for a pool, its first sending included."""
        account = self._find(pool, now)
        account.requests.append(now)

    def spend(self, pool: str, now: float) -> bool:
        """Take a retry; return whether the limit had one."""
        limit = self._limit
        account = self._find(pool, now)
        allowed = limit.ratio * len(account.requests)
        allowed += limit.extra / self._hosts
        if len(account.retries) + 1 > allowed:
            return False
        account.retries.append(now)
        return True

    def _find(self, pool: str, now: float) -> _Account:
        account = self._accounts.setdefault(pool, _Account())
        oldest = now - self._limit.window_s
        for times in (account.requests, account.retries):
            while times and times[0] <= oldest:
                times.popleft()
        return account
