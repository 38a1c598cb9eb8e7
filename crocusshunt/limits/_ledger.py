"""Token buckets from which a home, a lending host, lends to gateways."""

from dataclasses import dataclass, field

from crocusshunt.core import Clock
from crocusshunt.limits._drift import add_drift, subtract_drift
from crocusshunt.routing import Customer

LOAN_LIFETIME_S = 0.5


@dataclass(frozen=True, slots=True)
class Settlement:
    """End of a loan, reported by the gateway that borrowed.

    :param returned: unused tokens, which the gateway has discarded.
    """

    loan_id: str
    returned: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A gateway's request for tokens.

    :param loan_id: identifies the loan; the same in each repetition.
    :param wanted: number of tokens.
    :param settled: earlier loans that have ended.
    """

    loan_id: str
    wanted: int
    settled: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens lent to a gateway.

    :param granted: number of tokens lent.
    :param lifetime_s: seconds from the sending of the request after which
        the tokens expire.
    :param retry_after_s: least time until the bucket has another token, in
        seconds.
    :param remaining: whole tokens left in the bucket.
    """

    loan_id: str
    granted: int
    lifetime_s: float
    retry_after_s: float
    remaining: int


@dataclass(frozen=True, slots=True)
class LendingTerm:
    """Period in which this process alone lends a customer's tokens.

    :param number: epoch of the lease; grows with each later term.
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
    term_number: int
    level: float
    updated_at: float
    rate: float
    loans: dict[str, _OpenLoan] = field(default_factory=dict)


class HomeLedger:
    """Token buckets of the customers for which this host lends.

    Tokens in a bucket and in its open loans together never exceed the burst
    and never grow faster than the rate, so in any interval all gateways
    together admit at most rate x interval + burst requests. A term starts with
    an empty bucket. An account is absent if it has not lent in this term or
    was dropped when its bucket was full; either way its level follows from
    the time since the start of the term.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> ledger, term = HomeLedger(clock), LendingTerm(1, started_at=0)
    >>> court = Customer('court', rate=10, burst=5)
    >>> ledger.lend(court, LoanRequest('a', 1), term).granted
    0
    >>> clock.advance(0.35)
    >>> ledger.lend(court, LoanRequest('b', 9), term).granted
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
        term: LendingTerm,
    ) -> Loan:
        """Lend up to the wanted number of tokens.

        A repeated request returns the loan already made.

        :param term: term of this process, valid for longer than a loan.
        """
        account = self._refresh(customer, term)
        _apply_settlements(account, request.settled)
        _cap_level(account, customer)
        repeated = account.loans.get(request.loan_id)
        if repeated is not None:
            return repeated.loan
        loan = _grant_loan(account, customer, request)
        if loan.granted:
            account.loans[request.loan_id] = _OpenLoan(
                loan,
                loan.granted,
                self._clock.monotonic() + add_drift(LOAN_LIFETIME_S),
            )
        return loan

    def restore_tokens(
        self, customer: Customer, tokens: float, term: LendingTerm
    ) -> None:
        """Start an account with the tokens that the previous home left."""
        account = _Account(
            term.number,
            min(tokens, customer.burst),
            term.started_at,
            customer.rate,
        )
        self._accounts[customer.name] = account

    def measure_transferable(
        self, customer: Customer, term: LendingTerm
    ) -> float:
        """Return the tokens that may pass to the next home.

        They are 0 while the tokens of any loan are outstanding.
        """
        account = self._refresh(customer, term)
        if _count_outstanding(account):
            return 0
        return account.level

    def drop_full(self, customer: Customer, term: LendingTerm) -> None:
        """Drop an account whose bucket is full and which has no open loans."""
        account = self._refresh(customer, term)
        if account.level >= customer.burst and not account.loans:
            self._accounts.pop(customer.name)

    def _refresh(self, customer: Customer, term: LendingTerm) -> _Account:
        now = self._clock.monotonic()
        account = self._accounts.get(customer.name)
        if account is None or account.term_number != term.number:
            account = _Account(
                term.number,
                0,
                term.started_at,
                customer.rate,
            )
            self._accounts[customer.name] = account
        # A changed rate applies from now on; the lower rate applies until now.
        rate = min(customer.rate, account.rate)
        account.rate = customer.rate
        account.level += subtract_drift(now - account.updated_at) * rate
        account.updated_at = now
        # Loans not settled in time expire; their tokens count as used.
        account.loans = {
            loan_id: open_loan
            for loan_id, open_loan in account.loans.items()
            if open_loan.expires_at > now
        }
        _cap_level(account, customer)
        return account


def _apply_settlements(
    account: _Account, settled: tuple[Settlement, ...]
) -> None:
    for settlement in settled:
        open_loan = account.loans.get(settlement.loan_id)
        if open_loan is not None and open_loan.outstanding:
            account.level += min(settlement.returned, open_loan.outstanding)
            open_loan.outstanding = 0


def _cap_level(account: _Account, customer: Customer) -> None:
    room = customer.burst - _count_outstanding(account)
    account.level = min(account.level, max(0, room))


def _count_outstanding(account: _Account) -> int:
    return sum(open_loan.outstanding for open_loan in account.loans.values())


def _grant_loan(
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
