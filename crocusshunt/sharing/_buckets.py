"""Token buckets of customers, sized by this host's part."""

from dataclasses import dataclass, field

_LEAST_RATE = 0.001


@dataclass(slots=True)
class TokenBucket:
    """Tokens that refill at a rate up to a capacity; starts without any.

    >>> bucket = TokenBucket(rate=2, capacity=4, filled_at=0)
    >>> bucket.take(now=0), bucket.take(now=0.5)
    (0.5, 0)
    """

    rate: float
    capacity: float
    filled_at: float
    tokens: float = 0

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change the size; a larger bucket is not fuller at once."""
        self._fill(now)
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, max(1, capacity))

    def take(self, now: float) -> float:
        """Take a token, or return the seconds until there is one."""
        self._fill(now)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return (1 - self.tokens) / max(_LEAST_RATE, self.rate)

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
    >>> limiter.take('court', now=0), limiter.take('court', now=1)
    (1.0, 0)
    >>> limiter.take('bar-office', now=0)
    0
    """

    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def resize(self, name: str, rate: float, burst: float, now: float) -> None:
        """Set this host's part of a customer's rate and burst."""
        bucket = self._buckets.get(name)
        if bucket is None:
            self._buckets[name] = TokenBucket(rate, burst, now)
        else:
            bucket.resize(rate, burst, now)

    def release(self, name: str) -> None:
        """Stop limiting a customer."""
        self._buckets.pop(name, None)

    def take(self, name: str, now: float) -> float:
        """Take a token, or return the seconds until there is one."""
        bucket = self._buckets.get(name)
        return 0 if bucket is None else bucket.take(now)

    def put_back(self, name: str) -> None:
        """Return the token of a request that was not sent."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.put_back()
