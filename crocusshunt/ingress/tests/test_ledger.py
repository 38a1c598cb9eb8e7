"""Tests of the count of what connections keep."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from crocusshunt.ingress import (
    Account,
    EndCause,
    Holding,
    HostLedger,
    IngressLimits,
    create_ingress_limits,
)

_LIMITS = IngressLimits(
    max_host_bytes=1000,
    max_body_bytes=600,
    single_body_bytes=600,
    small_body_bytes=10,
    small_reserve_bytes=50,
    max_connection_bytes=400,
)
_KEPT = st.sampled_from((Holding.received, Holding.answer))


class _Ends:
    """Records which connections were ended, and why."""

    def __init__(self) -> None:
        self.causes: dict[int, list[EndCause]] = {}

    def open(self, ledger: HostLedger, number: int) -> Account:
        causes = self.causes.setdefault(number, [])
        return ledger.open(causes.append)


def test_largest_is_ended() -> None:
    """The connections that keep the most are ended, and no others."""
    ledger = HostLedger(_LIMITS)
    ends = _Ends()
    accounts = [ends.open(ledger, number) for number in range(4)]
    for account, size in zip(accounts, (300, 200, 390, 100), strict=True):
        account.set(Holding.answer, size)
    assert not any(ends.causes.values())
    accounts[3].hold(Holding.received, 20)
    assert ends.causes == {0: [], 1: [], 2: [EndCause.host_bytes], 3: []}
    assert ledger.total == 620


def test_connection_over_its_limit_is_ended() -> None:
    """A connection is ended by what it keeps beside bodies."""
    ledger = HostLedger(_LIMITS)
    ends = _Ends()
    account = ends.open(ledger, 0)
    assert account.try_hold_body(500)
    account.set(Holding.received, 200)
    account.set(Holding.answer, 200)
    assert account.is_open
    account.hold(Holding.answer, 1)
    assert ends.causes[0] == [EndCause.connection_bytes]
    account.set(Holding.answer, 5)
    account.close()
    assert ledger.total == 0
    assert ends.causes[0] == [EndCause.connection_bytes]


def test_body_without_room_is_refused() -> None:
    """Large bodies leave room to small ones, and end no connection."""
    ledger = HostLedger(_LIMITS)
    ends = _Ends()
    large, other, small = (ends.open(ledger, number) for number in range(3))
    assert large.try_hold_body(600)
    assert not other.try_hold_body(11)
    assert small.try_hold_body(10)
    assert not small.try_hold_body(1)
    large.set(Holding.body, 0)
    assert other.try_hold_body(590)
    assert not any(ends.causes.values())


def test_body_is_not_ended_for_others() -> None:
    """Connections that keep unread answers don't end one with a body."""
    ledger = HostLedger(_LIMITS)
    ends = _Ends()
    body = ends.open(ledger, 0)
    assert body.try_hold_body(600)
    for number in range(1, 6):
        ends.open(ledger, number).set(Holding.answer, 200 + number)
    assert body.is_open
    assert ledger.total <= 1000


def test_least_machine_keeps_longest_body() -> None:
    """The longest body that the pages allow fits the smallest machine."""
    for memory_bytes in (0, 100_000_000, 200_000_000, 4_000_000_000):
        limits = create_ingress_limits(memory_bytes, 4100)
        ledger = HostLedger(limits)
        assert _Ends().open(ledger, 0).try_hold_body(67_108_864)
        most = max(limits.max_body_bytes, limits.single_body_bytes)
        assert most + limits.small_reserve_bytes < limits.max_host_bytes


class LedgerMachine(RuleBasedStateMachine):
    """Compares a ledger with a plain sum, in any order of operations."""

    accounts = Bundle('accounts')

    def __init__(self) -> None:
        """Begin without connections."""
        super().__init__()
        self.ledger = HostLedger(_LIMITS)
        self.opened: list[Account] = []
        self.ended: list[Account] = []

    @rule(target=accounts)
    def open(self) -> Account:
        """Open a connection."""
        index = len(self.opened)
        account = self.ledger.open(lambda _cause: self._end(index))
        self.opened.append(account)
        return account

    @rule(account=accounts, kind=_KEPT, size=st.integers(0, 500))
    def set(self, account: Account, kind: Holding, size: int) -> None:
        """Keep so many bytes."""
        before = {one: one.total - one.body_bytes for one in self._list_open()}
        was_open = account.is_open
        if was_open:
            before[account] += size - account.count(kind)
        count = len(self.ended)
        account.set(kind, size)
        for one in self.ended[count:]:
            survivors = [before[other] for other in self._list_open()]
            is_over = before[one] > _LIMITS.max_connection_bytes
            assert is_over or before[one] >= max(survivors, default=0)

    @rule(account=accounts, size=st.integers(0, 300))
    def hold_body(self, account: Account, size: int) -> None:
        """Let a body grow if it may; what is ended keeps nothing."""
        before = account.body_bytes
        is_held = account.try_hold_body(size)
        if account.is_open:
            assert account.body_bytes == before + size * is_held
        else:
            assert (is_held, account.total) == (False, 0)

    @rule(account=accounts, size=st.integers(0, 300))
    def give_back_body(self, account: Account, size: int) -> None:
        """Drop bytes of a body."""
        account.hold(Holding.body, -size)

    @rule(account=consumes(accounts))
    def close(self, account: Account) -> None:
        """Close a connection."""
        account.close()
        assert not account.total

    @invariant()
    def keeps_to_limits(self) -> None:
        """Nothing passes a limit, and the totals are the sums."""
        kept = self._list_open()
        assert self.ledger.total == sum(one.total for one in self.opened)
        assert self.ledger.total <= _LIMITS.max_host_bytes
        bodies = sum(one.body_bytes for one in kept)
        assert self.ledger.body_total == bodies
        most = _LIMITS.max_body_bytes + _LIMITS.small_reserve_bytes
        assert bodies <= most
        for one in kept:
            endable = one.total - one.body_bytes
            assert 0 <= endable <= _LIMITS.max_connection_bytes

    def _end(self, index: int) -> None:
        account = self.opened[index]
        assert account not in self.ended
        assert not account.total
        self.ended.append(account)

    def _list_open(self) -> list[Account]:
        return [one for one in self.opened if one.is_open]


TestLedger = LedgerMachine.TestCase
