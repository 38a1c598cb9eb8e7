"""Token buckets of customers, sized by this host's part."""

from dataclasses import dataclass, field

_LEAST_RATE = 0.001
# Sums of small refills fall short of a token by rounding alone.
_ROUNDING_S = 0.000001


@dataclass(frozen=True, slots=True)
class Grant:
    """Whether a token was taken, and when it may be used.

    :param wait_s: until the token is there, in seconds.
    """

    is_granted: bool
    wait_s: float


@dataclass(slots=True)
class TokenBucket:
    """Tokens that refill at a rate up to a capacity; starts without any.

    :param is_over_rate: whether more is asked of all hosts than the rate.

    >>> bucket = TokenBucket(rate=2, capacity=4, filled_at=0)
    >>> bucket.take(now=0)
    Grant(is_granted=False, wait_s=0.5)
    >>> bucket.take(now=0, patience_s=1), bucket.take(now=0, patience_s=1)
    (Grant(is_granted=True, wait_s=0.5), Grant(is_granted=True, wait_s=1.0))
    """

    rate: float
    capacity: float
    filled_at: float
    tokens: float = 0
    is_over_rate: bool = False

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change the size; a larger bucket is not fuller at once."""
        self._fill(now)
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, max(1, capacity))

    def take(self, now: float, patience_s: float = 0) -> Grant:
        """Take a token that is there, or will be within a time.

        Requests that wait get the next tokens in the order in which they
        came; one that is refused takes none. Nobody waits for tokens of a
        customer that asks for more than its rate: the queue would always be
        full, and each request late.

        :param patience_s: longest wait for a token, in seconds.
        """
        self._fill(now)
        if self.is_over_rate:
            patience_s = 0
        missing = max(0, 1 - self.tokens)
        wait_s = missing / max(_LEAST_RATE, self.rate)
        if wait_s < _ROUNDING_S:
            wait_s = 0
        is_granted = wait_s <= patience_s
        if is_granted:
            self.tokens -= 1
        return Grant(is_granted, wait_s)

    def put_back(self) -> None:
        """Return the token of a request that was not sent."""
        self.tokens = min(max(1, self.capacity), self.tokens + 1)

    def _fill(self, now: float) -> None:
        grown = self.rate * max(0, now - self.filled_at)
        self.tokens = min(max(1, self.capacity), self.tokens + grown)
        self.filled_at = now


@dataclass(slots=True)
class CustomerLimiter:
    """Buckets of all customers on this host.

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
        """Note whether a customer asks for more than its rate."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.is_over_rate = is_over_rate

    def release(self, name: str) -> None:
        """Stop limiting a customer."""
        self._buckets.pop(name, None)

    def take(self, name: str, now: float, patience_s: float = 0) -> Grant:
        """Take a token of a customer; one without a limit always gets it."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return Grant(is_granted=True, wait_s=0)
        return bucket.take(now, patience_s)

    def put_back(self, name: str) -> None:
        """Return the token of a request that was not sent."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.put_back()
