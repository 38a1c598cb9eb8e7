"""No fraction of a part has two users, in every order of events."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusshunt.sharing import (
    LEASE_S,
    NO_STAMP,
    GivenLeases,
    HeldLeases,
    LeasePart,
    LeaseVersion,
    NameRange,
)

_CUSTOMERS = ('court', 'clinic')
_HOSTS = ('h1', 'h2', 'h3')
_NAMES = st.sampled_from(_HOSTS)
_NAMED = st.sampled_from(_CUSTOMERS)
_STEPS_S = st.sampled_from((0.01, 0.1, 0.4, 1.0, 2.4, 3.4, 3.6))
_FRACTIONS = st.sampled_from((0, 0.2, 0.5, 0.7, 1))
_ROUNDING = 0.000001

# Applies a message that arrives.
Message = Callable[[], None]


@dataclass(slots=True)
class _Host:
    """One host; its clock has an origin of its own."""

    origin: float
    held: HeldLeases = field(default_factory=HeldLeases)
    given: GivenLeases = field(default_factory=GivenLeases)


class FractionMachine(RuleBasedStateMachine):
    """Hosts that lend and borrow; messages are late, lost or repeated.

    Every message is kept and may be delivered at any time, in any order, and
    again; hosts that don't hear each other are those whose messages wait.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 100
        self.sent: list[Message] = []
        self.hosts = {
            name: _Host(origin=1000 * number)
            for number, name in enumerate(_HOSTS)
        }

    def read_clock(self, name: str) -> float:
        return self.now + self.hosts[name].origin

    @rule(seconds=_STEPS_S)
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=_NAMES, customer=_NAMED)
    def keep(self, name: str, customer: str) -> None:
        self.now += 0.001
        self.hosts[name].held.keep(customer, self.read_clock(name))

    @rule(name=_NAMES, customer=_NAMED)
    def release(self, name: str, customer: str) -> None:
        self.hosts[name].held.release(customer)
        self.now += 0.001

    @rule(borrower=_NAMES, lender=_NAMES, is_late=st.booleans())
    def ask(self, borrower: str, lender: str, *, is_late: bool) -> None:
        """Tell a lender a stamp, what is kept, and what was accepted."""
        if borrower == lender:
            return
        self.now += 0.001
        stamp = self.read_clock(borrower)
        held = self.hosts[borrower].held
        kept = held.kept
        accepted = held.find_complete_version(lender)

        def arrive() -> None:
            given = self.hosts[lender].given
            given.note_stamp(borrower, stamp, self.read_clock(lender))
            given.note_kept(borrower, stamp, kept)
            given.note_accepted(borrower, accepted)

        self._send(arrive, is_late=is_late)

    @rule(
        lender=_NAMES,
        borrower=_NAMES,
        fraction=_FRACTIONS,
        other=_FRACTIONS,
        is_late=st.booleans(),
    )
    def lend(
        self,
        lender: str,
        borrower: str,
        fraction: float,
        other: float,
        *,
        is_late: bool,
    ) -> None:
        """Lend fractions of two rates in place of all that was lent."""
        if lender == borrower:
            return
        wanted = dict(zip(_CUSTOMERS, (fraction, other), strict=True))
        clock = self.read_clock(lender)
        loans = self.hosts[lender].given.give_all(borrower, wanted, clock)
        if loans is None:
            return

        def arrive() -> None:
            self.hosts[borrower].held.accept_all(
                lender,
                loans.version,
                loans.fractions,
                self.read_clock(borrower),
            )

        self._send(arrive, is_late=is_late)

    @rule(
        lender=_NAMES,
        borrower=_NAMES,
        fraction=_FRACTIONS,
        other=_FRACTIONS,
        are_late=st.tuples(st.booleans(), st.booleans()),
    )
    def lend_in_parts(
        self,
        lender: str,
        borrower: str,
        fraction: float,
        other: float,
        are_late: tuple[bool, bool],
    ) -> None:
        """Lend fractions of two rates, each told by a message of its own."""
        if lender == borrower:
            return
        wanted = dict(zip(_CUSTOMERS, (fraction, other), strict=True))
        clock = self.read_clock(lender)
        loans = self.hosts[lender].given.give_all(borrower, wanted, clock)
        if loans is None:
            return
        for number, customer in enumerate(_CUSTOMERS):
            lent = loans.fractions.get(customer)
            told = {} if lent is None else {customer: lent}
            arrive = partial(
                self._accept_part,
                (lender, borrower),
                loans.version,
                told,
                LeasePart(number, len(_CUSTOMERS)),
            )
            self._send(arrive, is_late=are_late[number])

    @rule(
        borrower=_NAMES,
        lender=_NAMES,
        customer=_NAMED,
        is_late=st.booleans(),
    )
    def tell_range(
        self, borrower: str, lender: str, customer: str, *, is_late: bool
    ) -> None:
        """Tell a lender of one customer only whether it is kept."""
        if borrower == lender:
            return
        self.now += 0.001
        stamp = self.read_clock(borrower)
        held = self.hosts[borrower].held
        kept = tuple(one for one in held.kept if one == customer)
        names = NameRange(customer, f'{customer}x')

        def arrive() -> None:
            given = self.hosts[lender].given
            given.note_stamp(borrower, stamp, self.read_clock(lender))
            given.note_kept(borrower, stamp, kept, names)

        self._send(arrive, is_late=is_late)

    @rule(lender=_NAMES, keeper=_NAMES, customer=_NAMED, is_late=st.booleans())
    def lend_whole(
        self, lender: str, keeper: str, customer: str, *, is_late: bool
    ) -> None:
        if lender == keeper:
            return
        clock = self.read_clock(lender)
        stamp = self.hosts[lender].given.give(customer, keeper, clock)
        if stamp == NO_STAMP:
            return

        def arrive() -> None:
            held = self.hosts[keeper].held
            held.accept(customer, lender, stamp, self.read_clock(keeper))

        self._send(arrive, is_late=is_late)

    @rule(position=st.integers(0, 30), is_repeated=st.booleans())
    def deliver(self, position: int, *, is_repeated: bool) -> None:
        if position >= len(self.sent):
            return
        message = self.sent[position]
        if not is_repeated:
            self.sent.pop(position)
        message()

    @rule(name=_NAMES)
    def start_again(self, name: str) -> None:
        """Lose what a host knows; others may drop its former leases."""
        self.now += 0.001
        host = self.hosts[name]
        host.held = HeldLeases()
        host.given = GivenLeases(self.read_clock(name) + LEASE_S)

    @rule(name=_NAMES, is_heard_by=st.sets(_NAMES))
    def drop_former(self, name: str, is_heard_by: set[str]) -> None:
        """Let hosts drop what a host lent before, and tell it so."""
        given = self.hosts[name].given
        if not given.is_unsure(self.read_clock(name)):
            return
        for other in is_heard_by - {name}:
            self.now += 0.001
            self.hosts[other].held.drop_host(name, self.read_clock(other))
            given.note_drop(other)
        given.settle(set(_HOSTS) - {name})

    @invariant()
    def has_one_user(self) -> None:
        for name, host in self.hosts.items():
            for customer in _CUSTOMERS:
                clock = self.read_clock(name)
                used = host.given.find_own_fraction(customer, clock)
                for other in _HOSTS:
                    held = self.hosts[other].held
                    used += held.sum_fractions(
                        customer, {name}, self.read_clock(other)
                    )
                assert used <= 1 + _ROUNDING, (name, customer, used)

    def _accept_part(
        self,
        hosts: tuple[str, str],
        version: LeaseVersion,
        fractions: dict[str, float],
        part: LeasePart,
    ) -> None:
        lender, borrower = hosts
        self.hosts[borrower].held.accept_all(
            lender, version, fractions, self.read_clock(borrower), part
        )

    def _send(self, message: Message, *, is_late: bool) -> None:
        if is_late:
            self.sent.append(message)
        else:
            message()


FractionMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)
test_no_fraction_has_two_users_at_any_time = pytest.mark.filterwarnings(
    'ignore::hypothesis.errors.NonInteractiveExampleWarning'
)(FractionMachine.TestCase)


def _lend(lender: GivenLeases, fraction: float, now: float) -> LeaseVersion:
    loans = lender.give_all('h2', {'court': fraction}, now)
    assert loans is not None
    return loans.version


def test_fraction_is_back_as_soon_as_the_borrower_has_the_smaller_one() -> None:
    """A host whose demand rose again waited for the end of its lease."""
    given = GivenLeases()
    given.note_stamp('h2', 70, now=5)
    _lend(given, 0.7, now=5)
    smaller = _lend(given, 0.2, now=5.5)
    assert given.find_own_fraction('court', 5.5) == pytest.approx(0.3)
    given.note_accepted('h2', smaller)
    assert given.find_own_fraction('court', 5.5) == pytest.approx(0.8)


def test_lease_that_arrives_after_a_newer_one_is_ignored() -> None:
    held = HeldLeases()
    held.keep('court', now=10)
    held.accept_all('h1', LeaseVersion(11, 2), {'court': 0.2}, now=11)
    held.accept_all('h1', LeaseVersion(11, 1), {'court': 0.7}, now=11)
    held.accept('court', 'h1', stamp=11, now=11)
    assert held.sum_fractions('court', {'h1'}, now=11) == 0.2


def test_leases_of_a_version_are_complete_with_its_last_message() -> None:
    """Until then, what the missing message may renew is still used."""
    held = HeldLeases()
    for customer in _CUSTOMERS:
        held.keep(customer, now=10)
    first, second = LeaseVersion(11, 1), LeaseVersion(12, 2)
    held.accept_all('h1', first, dict.fromkeys(_CUSTOMERS, 0.5), now=11)
    court, clinic = (LeasePart(number, 2) for number in range(2))
    assert not held.accept_all('h1', second, {'court': 0.2}, 12, court)
    assert held.find_complete_version('h1') == first
    assert held.sum_fractions('clinic', {'h1'}, now=12) == 0.5
    assert not held.accept_all('h1', second, {'court': 0.2}, 12, court)
    assert held.accept_all('h1', second, {}, 12, clinic)
    assert held.find_complete_version('h1') == second
    assert not held.sum_fractions('clinic', {'h1'}, now=12)
    assert held.sum_fractions('court', {'h1'}, now=12) == 0.2


def test_range_of_kept_customers_tells_nothing_of_others() -> None:
    """A list that was cut ended leases that were still used."""
    given = GivenLeases()
    given.note_stamp('h2', 70, now=5)
    loans = given.give_all('h2', dict.fromkeys(_CUSTOMERS, 1), now=5)
    assert loans is not None
    given.note_kept('h2', 71, (), NameRange('clinic', 'court'))
    assert given.find_own_fraction('clinic', 5) == 1
    assert given.find_own_fraction('court', 5) == 0


def test_whole_part_is_not_lent_beside_a_fraction() -> None:
    given = GivenLeases()
    given.note_stamp('h2', 70, now=5)
    given.note_stamp('h3', 80, now=5)
    _lend(given, 0.2, now=5)
    assert given.give('court', 'h3', now=5) == NO_STAMP
    assert given.remaining_s('court', now=5) == LEASE_S


def test_whole_lease_ends_no_earlier_one_of_another_customer() -> None:
    """The lender took a stamp of one lease for that of all."""
    held = HeldLeases()
    for customer in _CUSTOMERS:
        held.keep(customer, now=10)
    held.accept('court', 'h1', stamp=11, now=11)
    held.accept('clinic', 'h1', stamp=12, now=12)
    given = GivenLeases()
    given.note_stamp('h2', 11, now=5)
    given.give('court', 'h2', now=5)
    given.note_accepted('h2', held.find_complete_version('h1'))
    assert held.sum_fractions('court', {'h1'}, now=12) == 1
    assert given.find_own_fraction('court', 5) == 0
