"""Token buckets that a home host keeps and lends from."""

from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.limits._drift import add_drift, subtract_drift
from crocusshunt.routing import Customer

LOAN_LIFETIME_S = 0.5


@dataclass(frozen=True, slots=True)
class Settlement:
    """End of a loan: its tokens are used, or returned and void.

    :param returned: tokens that were not used and never will be.
    """

    loan_id: str
    returned: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A gateway's request for tokens.

    :param loan_id: the same in every repetition of the request.
    :param wanted: number of tokens.
    :param settled: earlier loans that are over.
    """

    loan_id: str
    wanted: int
    settled: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens lent.

    :param lifetime_s: seconds from the sending of the request after which
        the tokens are void.
    :param retry_after_s: seconds until another token is there at the soonest.
    :param remaining: whole tokens left in the bucket.
    """

    loan_id: str
    granted: int
    lifetime_s: float
    retry_after_s: float
    remaining: int


@dataclass(frozen=True, slots=True)
class LendingTerm:
    """Time in which this process alone lends a customer's tokens.

    :param number: higher for each later tenure.
    :param started_at: monotonic time here, in seconds.
    """

    number: int
    started_at: float


@dataclass(slots=True)
class _OpenLoan:
    loan: Loan
    outstanding: int
    expires_at: float


@dataclass(slots=True)
class _Account:
    tenure: int
    level: float
    updated_at: float
    rate: float
    loans: dict[str, _OpenLoan] = field(default_factory=dict)


class HomeLedger:
    """Buckets of the customers that this host lends for.

    Tokens in the bucket and in open loans together never exceed the burst
    and never grow faster than the rate, so what all gateways admit in any
    interval stays within rate x time + burst. A tenure starts with an empty
    bucket. An account that is absent has not lent in this tenure, or was full
    when it was dropped: it has gained since the start of the tenure.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> ledger, tenure = HomeLedger(clock), LendingTerm(1, started_at=0)
    >>> court = Customer('court', rate=10, burst=5)
    >>> ledger.lend(court, LoanRequest('a', 1), tenure).granted
    0
    >>> clock.advance(0.35)
    >>> ledger.lend(court, LoanRequest('b', 9), tenure).granted
    3
    """

    def __init__(self, clock: Clock) -> None:
        """Start without accounts."""
        self._clock = clock
        self._accounts: dict[str, _Account] = {}

    def lend(
        self,
        customer: Customer,
        request: LoanRequest,
        tenure: LendingTerm,
    ) -> Loan:
        """Lend up to the wanted number of tokens.

        A repeated request gets the loan that it already has.

        :param tenure: tenure of this process, valid for longer than a loan.
        """
        account = self._refresh(customer, tenure)
        _settle(account, request.settled)
        _cap(account, customer)
        repeated = account.loans.get(request.loan_id)
        if repeated is not None:
            return repeated.loan
        loan = _draw(account, customer, request)
        if loan.granted:
            account.loans[request.loan_id] = _OpenLoan(
                loan,
                loan.granted,
                self._clock.monotonic() + add_drift(LOAN_LIFETIME_S),
            )
        return loan

    def restore_tokens(
        self, customer: Customer, tokens: float, tenure: LendingTerm
    ) -> None:
        """Start an account with the tokens that the home before left."""
        account = _Account(
            tenure.number,
            min(tokens, customer.burst),
            tenure.started_at,
            customer.rate,
        )
        self._accounts[customer.name] = account

    def measure_transferable(
        self, customer: Customer, tenure: LendingTerm
    ) -> float:
        """Return the tokens left for the next home, none while any is lent."""
        account = self._refresh(customer, tenure)
        if _count_outstanding(account):
            return 0
        return account.level

    def drop_full(self, customer: Customer, tenure: LendingTerm) -> None:
        """Forget an account that is as good as new."""
        account = self._refresh(customer, tenure)
        if account.level >= customer.burst and not account.loans:
            self._accounts.pop(customer.name)

    def _refresh(self, customer: Customer, tenure: LendingTerm) -> _Account:
        now = self._clock.monotonic()
        account = self._accounts.get(customer.name)
        if account is None or account.tenure != tenure.number:
            account = _Account(
                tenure.number,
                0,
                tenure.started_at,
                customer.rate,
            )
            self._accounts[customer.name] = account
        # A changed rate counts from now on; the lower one counts until now.
        rate = min(customer.rate, account.rate)
        account.rate = customer.rate
        account.level += subtract_drift(now - account.updated_at) * rate
        account.updated_at = now
        # What is settled in time is gone from the loans already.
        account.loans = {
            loan_id: lent
            for loan_id, lent in account.loans.items()
            if lent.expires_at > now
        }
        _cap(account, customer)
        return account


def _settle(account: _Account, settled: tuple[Settlement, ...]) -> None:
    for settlement in settled:
        lent = account.loans.get(settlement.loan_id)
        if lent is not None and lent.outstanding:
            account.level += min(settlement.returned, lent.outstanding)
            lent.outstanding = 0


def _cap(account: _Account, customer: Customer) -> None:
    room = customer.burst - _count_outstanding(account)
    account.level = min(account.level, max(0, room))


def _count_outstanding(account: _Account) -> int:
    return sum(lent.outstanding for lent in account.loans.values())


def _draw(
    account: _Account,
    customer: Customer,
    request: LoanRequest,
) -> Loan:
    granted = min(request.wanted, int(account.level))
    account.level -= granted
    return Loan(
        request.loan_id,
        granted,
        LOAN_LIFETIME_S,
        max(0, (1 - account.level) / customer.rate),
        int(account.level),
    )
