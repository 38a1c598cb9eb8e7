"""What is admitted stays within rate and burst, whatever happens."""

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusshunt.bench._simulation import count_overshoot
from crocusshunt.core import ManualClock
from crocusshunt.limits import (
    LOAN_LIFETIME_S,
    ROW_LEASE_S,
    SUPPORT_S,
    HeldLease,
    HomeLedger,
    LeaseCandidate,
    LeaseRow,
    LendingTerm,
    Loan,
    LoanRequest,
    Settlement,
    TokenCache,
    Witness,
    add_drift,
    build_takeover_row,
)
from crocusshunt.routing import Customer

_CUSTOMER = Customer('cellar', rate=4, burst=6)
_NAMES = ('h0', 'h1', 'h2')
_SPEEDS = {'h0': 1.0005, 'h1': 1, 'h2': 0.9995}
_SHARD = '0001'
_HOST = st.sampled_from(_NAMES)


@dataclass
class _Host:
    """Pure parts of one process."""

    clock: ManualClock
    incarnation: str
    witness: Witness
    ledger: HomeLedger
    tenancy: HeldLease | None = None
    token_cache: TokenCache = field(default_factory=TokenCache)
    settled: tuple[Settlement, ...] = ()


@dataclass
class _Mail:
    """A message that may arrive late, twice or never."""

    kind: str
    target: str
    sender: str
    epoch: int
    sent_at: float
    loan: Loan | None = None


class LendingMachine(RuleBasedStateMachine):
    """Hosts that take over from each other at any moment."""

    def __init__(self) -> None:
        """Start three hosts without leases."""
        super().__init__()
        self.now: float = 0
        self.row: LeaseRow | None = None
        self.created = 0
        self.hosts: dict[str, _Host] = {}
        self.mails: list[_Mail] = []
        self.admitted: list[float] = []
        for name in _NAMES:
            self.restart(name)

    @rule(name=_HOST)
    def restart(self, name: str) -> None:
        """Replace a process; it remembers nothing."""
        self.created += 1
        clock = ManualClock(self.now * _SPEEDS[name])
        self.hosts[name] = _Host(
            clock,
            f'{name}/{self.created}',
            Witness(clock.monotonic()),
            HomeLedger(clock),
        )

    @rule(seconds=st.sampled_from((0.05, 0.3, 0.6, 2, 5)))
    def wait(self, seconds: float) -> None:
        """Let time pass, at each host's own speed."""
        self.now += seconds
        for name, host in self.hosts.items():
            host.clock.advance(seconds * _SPEEDS[name])

    @rule(name=_HOST)
    def acquire(self, name: str) -> None:
        """Take the row, however wrongly."""
        host = self.hosts[name]
        live = frozenset(_NAMES)
        candidate = LeaseCandidate(name, host.incarnation, live, True, _NAMES)
        self.row = build_takeover_row(self.row, candidate)
        now = host.clock.monotonic()
        host.tenancy = HeldLease(self.row, 0, now, now + ROW_LEASE_S)

    @rule(name=_HOST, witnesses=st.sets(_HOST, min_size=2))
    def gather(self, name: str, witnesses: set[str]) -> None:
        """Ask witnesses and get their answers at once."""
        for witness in sorted(witnesses):
            self.ask_witness(name, witness)
            if self.hosts[name].tenancy is not None:
                self._answer(self.mails.pop())

    @rule(name=_HOST, witness=_HOST)
    def ask_witness(self, name: str, witness: str) -> None:
        """Ask for support once the tenure may begin, else for a fence."""
        host = self.hosts[name]
        if host.tenancy is None:
            return
        now = host.clock.monotonic()
        kind = 'support' if host.tenancy.begin(now) else 'fence'
        epoch = host.tenancy.row.epoch
        self.mails.append(_Mail(kind, witness, name, epoch, now))

    @rule(position=st.integers(0, 5), is_kept=st.booleans())
    def deliver(self, position: int, is_kept: bool) -> None:
        """Deliver a message, perhaps once more later."""
        if position >= len(self.mails):
            return
        mail = self.mails[position]
        if not is_kept:
            self.mails.pop(position)
        if mail.loan is None:
            self._answer(mail)
        else:
            self.hosts[mail.target].token_cache.put(mail.loan, mail.sent_at)

    @rule(position=st.integers(0, 5))
    def lose(self, position: int) -> None:
        """Lose a message."""
        if position < len(self.mails):
            self.mails.pop(position)

    @rule(holder=_HOST, name=_HOST, wanted=st.integers(1, 8))
    def lend(self, holder: str, name: str, wanted: int) -> None:
        """Let a gateway borrow from whoever believes to hold the lease."""
        lender, borrower = self.hosts[holder], self.hosts[name]
        tenure = self._find_tenure(lender)
        if tenure is None:
            return
        asked_at = borrower.clock.monotonic()
        self.created += 1
        request = LoanRequest(
            f'{name}/{self.created}',
            wanted,
            borrower.token_cache.settle(asked_at),
        )
        loan = lender.ledger.lend(_CUSTOMER, request, tenure)
        self.mails.append(_Mail('loan', name, holder, 0, asked_at, loan))

    @rule(name=_HOST, count=st.integers(1, 8))
    def admit(self, name: str, count: int) -> None:
        """Admit requests at a gateway while it has tokens."""
        host = self.hosts[name]
        for _ in range(count):
            if host.token_cache.take(host.clock.monotonic()):
                self.admitted.append(self.now)

    @invariant()
    def stays_within_rate_and_burst(self) -> None:
        """Check every interval, and that one host at most lends."""
        assert not count_overshoot(_CUSTOMER, self.admitted)
        lenders = [
            host
            for host in self.hosts.values()
            if self._find_tenure(host) is not None
        ]
        assert len(lenders) <= 1

    def _find_tenure(self, host: _Host) -> LendingTerm | None:
        if host.tenancy is None:
            return None
        until = host.clock.monotonic() + add_drift(LOAN_LIFETIME_S)
        return host.tenancy.find_term(until)

    def _answer(self, mail: _Mail) -> None:
        witness = self.hosts[mail.target].witness
        asker = self.hosts[mail.sender]
        now = self.hosts[mail.target].clock.monotonic()
        if witness.is_row_needed(_SHARD) and self.row is not None:
            witness.record_epoch(_SHARD, self.row.epoch)
        tenancy = asker.tenancy
        if tenancy is None or tenancy.row.epoch != mail.epoch:
            tenancy = None
        if mail.kind == 'support':
            is_good = witness.support(_SHARD, mail.epoch, now)
            if is_good and tenancy is not None:
                tenancy.add_support(mail.target, mail.sent_at)
            return
        wait_s = witness.fence(_SHARD, mail.epoch, now)
        if wait_s is not None and tenancy is not None:
            received_at = asker.clock.monotonic()
            tenancy.add_clearance(mail.target, received_at, wait_s)


LendingMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)
TestLending = LendingMachine.TestCase


def test_changed_rate_counts_from_the_change_on() -> None:
    clock = ManualClock()
    ledger = HomeLedger(clock)
    tenure = LendingTerm(1, 0)
    ledger.lend(_CUSTOMER, LoanRequest('a', 1), tenure)
    clock.advance(1)
    richer = Customer('cellar', rate=400, burst=600)
    assert ledger.lend(richer, LoanRequest('b', 600), tenure).granted == 3


def test_smaller_burst_waits_for_open_loans() -> None:
    clock = ManualClock(10)
    ledger = HomeLedger(clock)
    tenure = LendingTerm(1, 0)
    assert ledger.lend(_CUSTOMER, LoanRequest('a', 6), tenure).granted == 6
    clock.advance(0.45)
    smaller = Customer('cellar', rate=4, burst=2)
    assert not ledger.lend(smaller, LoanRequest('b', 2), tenure).granted


@pytest.mark.parametrize('repeats', [1, 2, 3])
def test_settlement_counts_once(repeats: int) -> None:
    clock = ManualClock(10)
    ledger = HomeLedger(clock)
    tenure = LendingTerm(1, 0)
    ledger.lend(_CUSTOMER, LoanRequest('a', 6), tenure)
    settled = (Settlement('a', 2),) * repeats
    loan = ledger.lend(_CUSTOMER, LoanRequest('b', 6, settled), tenure)
    assert loan.granted == 2


def test_open_loans_count_under_the_burst() -> None:
    clock = ManualClock(10)
    ledger = HomeLedger(clock)
    tenure = LendingTerm(1, 0)
    assert ledger.lend(_CUSTOMER, LoanRequest('a', 6), tenure).granted == 6
    clock.advance(0.45)
    assert not ledger.lend(_CUSTOMER, LoanRequest('b', 6), tenure).granted


def test_tokens_are_void_after_the_loan() -> None:
    token_cache = TokenCache()
    token_cache.put(Loan('a', 2, LOAN_LIFETIME_S, 0, 0), asked_at=1)
    assert token_cache.take(1.4)
    assert not token_cache.take(1 + LOAN_LIFETIME_S)


def test_restarted_witness_waits_for_its_former_support() -> None:
    witness = Witness(started_at=100)
    wait_s = witness.fence(_SHARD, epoch=2, now=101)
    assert wait_s == pytest.approx(add_drift(SUPPORT_S) - 1)
