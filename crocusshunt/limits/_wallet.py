"""Borrowed tokens that a gateway holds."""

from dataclasses import dataclass

from crocusshunt.core import Clock


@dataclass(slots=True)
class _Batch:
    tokens: int
    expires_at: float


class Wallet:
    """Unexpired borrowed tokens of each customer.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> wallet = Wallet(clock)
    >>> wallet.put('court', tokens=1, expires_at=2)
    >>> wallet.take('court'), wallet.take('court')
    (True, False)
    """

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._batches: dict[str, list[_Batch]] = {}

    def put(self, customer: str, tokens: int, expires_at: float) -> None:
        """Add a batch.

        :param expires_at: monotonic time in seconds, counted from before
            the request for the batch was sent.
        """
        if tokens:
            batches = self._batches.setdefault(customer, [])
            batches.append(_Batch(tokens, expires_at))

    def take(self, customer: str) -> bool:
        """Use one token; return whether there was one."""
        now = self._clock.monotonic()
        batches = [
            batch
            for batch in self._batches.get(customer, ())
            if batch.tokens and batch.expires_at > now
        ]
        self._batches[customer] = batches
        if not batches:
            return False
        batches[0].tokens -= 1
        return True
