"""Tokens that a gateway has borrowed and not yet used."""

from dataclasses import dataclass

from crocusshunt.limits._drift import subtract_drift
from crocusshunt.limits._ledger import Loan, Settlement


@dataclass(slots=True)
class _Batch:
    loan_id: str
    tokens: int
    expires_at: float


class TokenCache:
    """Borrowed tokens of one customer, in batches that expire.

    >>> token_cache = TokenCache()
    >>> token_cache.put(Loan('a', 1, 0.5, 0, 0), asked_at=0)
    >>> token_cache.take(now=0.1), token_cache.take(now=0.1)
    (True, False)
    >>> token_cache.settle(now=0.1)
    (Settlement(loan_id='a', returned=0),)
    """

    def __init__(self) -> None:
        """Start empty."""
        self._batches: dict[str, _Batch] = {}
        self._settled_until: dict[str, float] = {}

    def put(self, loan: Loan, asked_at: float) -> None:
        """Add a loan; a duplicate of an earlier loan is ignored.

        :param asked_at: monotonic time before the request was sent, in
            seconds.
        """
        is_seen = loan.loan_id in self._batches
        if is_seen or loan.loan_id in self._settled_until:
            return
        expires_at = asked_at + subtract_drift(loan.lifetime_s)
        self._batches[loan.loan_id] = _Batch(
            loan.loan_id,
            loan.granted,
            expires_at,
        )

    def take(self, now: float) -> bool:
        """Use one token; return whether there was one.

        :param now: monotonic time in seconds.
        """
        for batch in self._batches.values():
            if batch.tokens and batch.expires_at > now:
                batch.tokens -= 1
                return True
        return False

    def count(self, now: float) -> int:
        """Return the number of usable tokens."""
        return sum(
            batch.tokens
            for batch in self._batches.values()
            if batch.expires_at > now
        )

    def settle(self, now: float, keep: int = 0) -> tuple[Settlement, ...]:
        """Close loans and return their settlements for the home, once each.

        All used up or expired loans are closed, and those in excess of what
        is to be kept.

        :param keep: loans are kept as long as the loans kept before hold
            fewer tokens than this in total.
        """
        self._settled_until = {
            loan_id: until
            for loan_id, until in self._settled_until.items()
            if until > now
        }
        kept = 0
        settlements = []
        for batch in tuple(self._batches.values()):
            is_usable = batch.tokens and batch.expires_at > now
            if is_usable and kept < keep:
                kept += batch.tokens
                continue
            settlements.append(self._close(batch, now))
        return tuple(settlements)

    def _close(self, batch: _Batch, now: float) -> Settlement:
        self._batches.pop(batch.loan_id)
        # A late duplicate of the loan may still arrive until the loan expires.
        self._settled_until[batch.loan_id] = max(batch.expires_at, now) + 1
        return Settlement(batch.loan_id, batch.tokens)
