"""Token buckets that limit customers to this host's part of their rates."""

from dataclasses import dataclass, field

# Tokens a second; avoids a division by zero.
_MIN_RATE = 0.001
# Shorter waits count as none: rounding errors of many small refills may leave
# a bucket just short of a token.
_WAIT_TOLERANCE_S = 0.000001


@dataclass(frozen=True, slots=True)
class Grant:
    """Whether a token was taken, and when it may be used.

    :param wait_s: time until the token is available, in seconds, whether it
        was taken or not.
    """

    is_granted: bool
    wait_s: float


@dataclass(slots=True)
class TokenBucket:
    """Token bucket, which starts empty.

    Tokens of requests that wait are taken in advance, so the number of tokens
    may be negative.

    :param rate: tokens added a second.
    :param capacity: most tokens held; at least one is held in any case.
    :param filled_at: time of the last refill, monotonic seconds.
    :param is_over_rate: whether the demand at all hosts together is higher
        than the customer's rate.

    >>> bucket = TokenBucket(rate=2, capacity=4, filled_at=0)
    >>> bucket.take(now=0)
    Grant(is_granted=False, wait_s=0.5)
    >>> bucket.take(now=0, max_wait_s=1), bucket.take(now=0, max_wait_s=1)
    (Grant(is_granted=True, wait_s=0.5), Grant(is_granted=True, wait_s=1.0))
    """

    rate: float
    capacity: float
    filled_at: float
    tokens: float = 0
    is_over_rate: bool = False

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; this adds no tokens at once."""
        self._refill(now)
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, max(1, capacity))

    def take(self, now: float, max_wait_s: float = 0) -> Grant:
        """Take a token that is available now or within the longest wait.

        Waiting requests get the next tokens in the order of their arrival; a
        refused request takes none. While the customer's demand is higher
        than its rate, no request waits: the queue would always be full, and
        every request late.

        :param now: monotonic seconds.
        :param max_wait_s: longest wait for a token, in seconds.
        """
        if self.is_over_rate:
            max_wait_s = 0
        wait_s = self.estimate_wait(now)
        is_granted = wait_s <= max_wait_s
        if is_granted:
            self.tokens -= 1
        return Grant(is_granted, wait_s)

    def estimate_wait(self, now: float) -> float:
        """Return the time until the next token is available, in seconds."""
        self._refill(now)
        missing = max(0, 1 - self.tokens)
        wait_s = missing / max(_MIN_RATE, self.rate)
        return 0 if wait_s < _WAIT_TOLERANCE_S else wait_s

    def is_indebted(self, now: float) -> bool:
        """Tell whether tokens were taken in advance that are not there yet."""
        self._refill(now)
        return self.tokens < 0

    def put_back(self) -> None:
        """Put back the token of a request that was not sent."""
        self.tokens = min(max(1, self.capacity), self.tokens + 1)

    def _refill(self, now: float) -> None:
        refilled = self.rate * max(0, now - self.filled_at)
        self.tokens = min(max(1, self.capacity), self.tokens + refilled)
        self.filled_at = now


@dataclass(slots=True)
class CustomerLimiter:
    """Token buckets of all rate-limited customers on this host.

    >>> limiter = CustomerLimiter()
    >>> limiter.resize('court', rate=1, burst=2, now=0)
    >>> limiter.take('court', now=0)
    Grant(is_granted=False, wait_s=1.0)
    >>> limiter.take('bar-office', now=0)
    Grant(is_granted=True, wait_s=0)
    """

    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    @property
    def rates(self) -> dict[str, float]:
        """Return this host's part of each limited customer's rate."""
        return {name: one.rate for name, one in self._buckets.items()}

    def resize(self, name: str, rate: float, burst: float, now: float) -> None:
        """Set this host's part of a customer's rate and burst."""
        bucket = self._buckets.get(name)
        if bucket is None:
            self._buckets[name] = TokenBucket(rate, burst, now)
        else:
            bucket.resize(rate, burst, now)

    def set_over_rate(self, name: str, *, is_over_rate: bool) -> None:
        """Set whether a customer's demand is higher than its rate."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.is_over_rate = is_over_rate

    def release(self, name: str) -> None:
        """Remove a customer's bucket, so that this host does not limit it."""
        self._buckets.pop(name, None)

    def take(self, name: str, now: float, max_wait_s: float = 0) -> Grant:
        """Take a token of a customer; always granted if it has no bucket."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return Grant(is_granted=True, wait_s=0)
        return bucket.take(now, max_wait_s)

    def is_indebted(self, name: str, now: float) -> bool:
        """Tell whether requests wait for tokens that were taken in advance."""
        bucket = self._buckets.get(name)
        return bucket is not None and bucket.is_indebted(now)

    def put_back(self, name: str) -> None:
        """Put back the token of a request that was not sent."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.put_back()
