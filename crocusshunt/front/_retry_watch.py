"""Retries that this host spends, with counters and log lines."""

from collections import Counter
from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.logs import log_event
from crocusshunt.sharing import RetryLimiter

# Shortest time between two log lines on one pool, in seconds.
_LOG_INTERVAL_S = 1


@dataclass(slots=True)
class RetryWatch:
    """Spends retries of the limit, and tells when it is reached.

    :param allowed: retries that the limit allowed, by pool.
    :param refused: retries that it did not allow, by pool.
    """

    limiter: RetryLimiter
    clock: Clock
    allowed: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    _started_at: float = field(init=False)
    _logged_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin to measure the age of this host."""
        self._started_at = self.clock.monotonic()

    def note_request(self, pool: str) -> None:
        """Count a request of a caller of this host."""
        self.limiter.note_request(pool, self.clock.monotonic())

    def is_left(self, pool: str) -> bool:
        """Tell whether the limit allows a retry now."""
        now = self.clock.monotonic()
        if self.limiter.may_spend(pool, now):
            return True
        self._note_refusal(pool, now)
        return False

    def spend(self, pool: str) -> bool:
        """Use a retry of the limit; return whether one was left."""
        now = self.clock.monotonic()
        if self.limiter.spend(pool, now):
            self.allowed[pool] += 1
            return True
        self._note_refusal(pool, now)
        return False

    def take_back(self, pool: str, spent_at: float) -> None:
        """Stop counting a retry of which nothing was sent."""
        self.limiter.take_back(pool, spent_at)

    def _note_refusal(self, pool: str, now: float) -> None:
        self.refused[pool] += 1
        if now - self._logged_at.get(pool, float('-inf')) < _LOG_INTERVAL_S:
            return
        self._logged_at[pool] = now
        usage = self.limiter.describe(pool, now)
        log_event(
            'retry limit reached',
            pool=pool,
            requests=usage.requests,
            retries=usage.retries,
            extra=round(usage.extra, 2),
            hosts=usage.hosts,
            age_s=round(now - self._started_at, 1),
            refused=self.refused[pool],
        )
