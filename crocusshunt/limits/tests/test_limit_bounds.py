"""Tests that admissions stay within rate and burst under any faults."""

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
    """State of one process, without its I/O."""

    clock: ManualClock
    incarnation: str
    witness: Witness
    ledger: HomeLedger
    lease: HeldLease | None = None
    token_cache: TokenCache = field(default_factory=TokenCache)
    settled: tuple[Settlement, ...] = ()


@dataclass
class _Message:
    """A message that may arrive late, twice or never."""

    kind: str
    target: str
    sender: str
    epoch: int
    sent_at: float
    loan: Loan | None = None


class LendingMachine(RuleBasedStateMachine):
    """Hosts that acquire the lease from each other at any moment.

    Processes restart without memory, clocks drift, and messages are late,
    duplicated or lost.
    """

    def __init__(self) -> None:
        """Start three hosts without leases."""
        super().__init__()
        self.now: float = 0
        self.row: LeaseRow | None = None
        self.created = 0
        self.hosts: dict[str, _Host] = {}
        self.messages: list[_Message] = []
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
        """Acquire the lease, even from a live holder."""
        host = self.hosts[name]
        live = frozenset(_NAMES)
        candidate = LeaseCandidate(name, host.incarnation, live, True, _NAMES)
        self.row = build_takeover_row(self.row, candidate)
        now = host.clock.monotonic()
        host.lease = HeldLease(self.row, 0, now, now + ROW_LEASE_S)

    @rule(name=_HOST, witnesses=st.sets(_HOST, min_size=2))
    def gather(self, name: str, witnesses: set[str]) -> None:
        """Ask witnesses and receive their answers at once."""
        for witness in sorted(witnesses):
            self.ask_witness(name, witness)
            if self.hosts[name].lease is not None:
                self._answer(self.messages.pop())

    @rule(name=_HOST, witness=_HOST)
    def ask_witness(self, name: str, witness: str) -> None:
        """Ask for support once the term has begun, else for a fence."""
        host = self.hosts[name]
        if host.lease is None:
            return
        now = host.clock.monotonic()
        kind = 'support' if host.lease.begin(now) else 'fence'
        epoch = host.lease.row.epoch
        self.messages.append(_Message(kind, witness, name, epoch, now))

    @rule(position=st.integers(0, 5), is_duplicated=st.booleans())
    def deliver(self, position: int, is_duplicated: bool) -> None:
        """Deliver a message, perhaps once more later."""
        if position >= len(self.messages):
            return
        message = self.messages[position]
        if not is_duplicated:
            self.messages.pop(position)
        if message.loan is None:
            self._answer(message)
        else:
            self.hosts[message.target].token_cache.put(
                message.loan, message.sent_at
            )

    @rule(position=st.integers(0, 5))
    def lose(self, position: int) -> None:
        """Lose a message."""
        if position < len(self.messages):
            self.messages.pop(position)

    @rule(holder=_HOST, name=_HOST, wanted=st.integers(1, 8))
    def lend(self, holder: str, name: str, wanted: int) -> None:
        """Let a gateway borrow from a host that believes it holds the lease."""
        lender, borrower = self.hosts[holder], self.hosts[name]
        term = self._find_term(lender)
        if term is None:
            return
        asked_at = borrower.clock.monotonic()
        self.created += 1
        request = LoanRequest(
            f'{name}/{self.created}',
            wanted,
            borrower.token_cache.settle(asked_at),
        )
        loan = lender.ledger.lend(_CUSTOMER, request, term)
        self.messages.append(_Message('loan', name, holder, 0, asked_at, loan))

    @rule(name=_HOST, count=st.integers(1, 8))
    def admit(self, name: str, count: int) -> None:
        """Admit requests at a gateway while it has tokens."""
        host = self.hosts[name]
        for _ in range(count):
            if host.token_cache.take(host.clock.monotonic()):
                self.admitted.append(self.now)

    @invariant()
    def check_rate_burst_and_single_lender(self) -> None:
        """Check all intervals, and that at most one host lends."""
        assert not count_overshoot(_CUSTOMER, self.admitted)
        lenders = [
            host
            for host in self.hosts.values()
            if self._find_term(host) is not None
        ]
        assert len(lenders) <= 1

    def _find_term(self, host: _Host) -> LendingTerm | None:
        if host.lease is None:
            return None
        until = host.clock.monotonic() + add_drift(LOAN_LIFETIME_S)
        return host.lease.find_term(until)

    def _answer(self, message: _Message) -> None:
        witness = self.hosts[message.target].witness
        asker = self.hosts[message.sender]
        now = self.hosts[message.target].clock.monotonic()
        if witness.is_row_needed(_SHARD) and self.row is not None:
            witness.record_epoch(_SHARD, self.row.epoch)
        lease = asker.lease
        if lease is None or lease.row.epoch != message.epoch:
            lease = None
        if message.kind == 'support':
            is_good = witness.support(_SHARD, message.epoch, now)
            if is_good and lease is not None:
                lease.add_support(message.target, message.sent_at)
            return
        wait_s = witness.fence(_SHARD, message.epoch, now)
        if wait_s is not None and lease is not None:
            received_at = asker.clock.monotonic()
            lease.add_clearance(message.target, received_at, wait_s)


LendingMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)
TestLending = LendingMachine.TestCase


def test_changed_rate_applies_from_the_change_on() -> None:
    clock = ManualClock()
    ledger = HomeLedger(clock)
    term = LendingTerm(1, 0)
    ledger.lend(_CUSTOMER, LoanRequest('a', 1), term)
    clock.advance(1)
    richer = Customer('cellar', rate=400, burst=600)
    assert ledger.lend(richer, LoanRequest('b', 600), term).granted == 3


def test_smaller_burst_counts_open_loans() -> None:
    clock = ManualClock(10)
    ledger = HomeLedger(clock)
    term = LendingTerm(1, 0)
    assert ledger.lend(_CUSTOMER, LoanRequest('a', 6), term).granted == 6
    clock.advance(0.45)
    smaller = Customer('cellar', rate=4, burst=2)
    assert not ledger.lend(smaller, LoanRequest('b', 2), term).granted


@pytest.mark.parametrize('repeats', [1, 2, 3])
def test_repeated_settlement_counts_once(repeats: int) -> None:
    clock = ManualClock(10)
    ledger = HomeLedger(clock)
    term = LendingTerm(1, 0)
    ledger.lend(_CUSTOMER, LoanRequest('a', 6), term)
    settled = (Settlement('a', 2),) * repeats
    loan = ledger.lend(_CUSTOMER, LoanRequest('b', 6, settled), term)
    assert loan.granted == 2


def test_open_loans_count_under_the_burst() -> None:
    clock = ManualClock(10)
    ledger = HomeLedger(clock)
    term = LendingTerm(1, 0)
    assert ledger.lend(_CUSTOMER, LoanRequest('a', 6), term).granted == 6
    clock.advance(0.45)
    assert not ledger.lend(_CUSTOMER, LoanRequest('b', 6), term).granted


def test_tokens_expire_with_the_loan() -> None:
    token_cache = TokenCache()
    token_cache.put(Loan('a', 2, LOAN_LIFETIME_S, 0, 0), asked_at=1)
    assert token_cache.take(1.4)
    assert not token_cache.take(1 + LOAN_LIFETIME_S)


def test_restarted_witness_waits_until_earlier_support_expires() -> None:
    witness = Witness(started_at=100)
    wait_s = witness.fence(_SHARD, epoch=2, now=101)
    assert wait_s == pytest.approx(add_drift(SUPPORT_S) - 1)
