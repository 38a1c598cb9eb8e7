"""Token buckets that a home host keeps and lends from."""

from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.routing import Customer

LOAN_LIFETIME_S = 2
_IDLE_RETRY_S = 1


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A gateway's request for tokens.

    :param loan_id: the same in every repetition of the request.
    :param wanted: number of tokens.
    """

    loan_id: str
    wanted: int


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens lent, void for the home after ``expires_at``.

    :param expires_at: monotonic time at the home, in seconds.
    :param retry_after_s: seconds until another token is there.
    """

    granted: int
    expires_at: float
    retry_after_s: float


@dataclass(slots=True)
class _Account:
    level: float
    updated_at: float
    loans: dict[str, Loan] = field(default_factory=dict)


class HomeLedger:
    """Buckets of the customers whose home is this host.

    Tokens in the bucket and in unexpired loans together never exceed the
    burst, so what all gateways admit in any interval stays within rate x
    time + burst. A bucket starts empty: a host that takes over from another
    cannot know what that one has lent.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> ledger = HomeLedger(clock)
    >>> court = Customer('court', rate=10, burst=5)
    >>> ledger.lend(court, LoanRequest('a', 1)).granted
    0
    >>> clock.advance(0.3)
    >>> ledger.lend(court, LoanRequest('b', 9)).granted
    3
    """

    def __init__(self, clock: Clock) -> None:
        """Start without accounts."""
        self._clock = clock
        self._accounts: dict[str, _Account] = {}

    def lend(self, customer: Customer, request: LoanRequest) -> Loan:
        """Lend up to the wanted number of tokens.

        A repeated request gets the loan that it already has.
        """
        now = self._clock.monotonic()
        account = self._accounts.setdefault(
            customer.name,
            _Account(level=0, updated_at=now),
        )
        _refill(account, customer, now)
        repeated = account.loans.get(request.loan_id)
        if repeated is not None:
            return repeated
        granted = min(request.wanted, int(account.level))
        account.level -= granted
        retry_after = (1 - account.level) / customer.rate
        loan = Loan(granted, now + LOAN_LIFETIME_S, max(0, retry_after))
        if granted:
            account.loans[request.loan_id] = loan
        return loan


def _refill(account: _Account, customer: Customer, now: float) -> None:
    account.loans = {
        loan_id: loan
        for loan_id, loan in account.loans.items()
        if loan.expires_at > now
    }
    lent = sum(loan.granted for loan in account.loans.values())
    room = max(0, customer.burst - lent)
    gained = (now - account.updated_at) * customer.rate
    account.level = min(room, account.level + gained)
    account.updated_at = now
