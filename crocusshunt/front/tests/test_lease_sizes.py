"""Sizes of messages about leases, and the sum of the rates, by customers."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import cast

import pytest

from crocusshunt.catalog import Catalog, CatalogIndex, CustomerRule
from crocusshunt.core import ManualClock
from crocusshunt.fleet import DatagramEndpoint, decode_message
from crocusshunt.front._heartbeats import HeartbeatLoop
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front.tests._region import Region

# What one Ethernet frame carries besides the headers of IPv4 and UDP.
_FRAME_BYTES = 1_472
_NAMES = ('a1', 'a2', 'a3', 'b1')
_HEARTBEAT_S = 1
_ROUNDING = 0.0001
# In requests a second: each host has a bucket of its own, or one keeps it.
_DIVIDED_RATE = 40
_KEPT_RATE = 8


@dataclass(slots=True)
class _Datagram:
    due: float
    receiver: str
    content: bytes


@dataclass(slots=True)
class _Network:
    """Carries what fits in a frame; loses, delays and repeats some of it."""

    region: Region
    loss: float = 0
    draws: random.Random = field(default_factory=lambda: random.Random(1))
    largest: Counter[str] = field(default_factory=Counter)
    waiting: list[_Datagram] = field(default_factory=list)

    def send(self, content: bytes, host: str, _port: int) -> None:
        kind = type(decode_message(content)).__name__
        self.largest[kind] = max(self.largest[kind], len(content))
        if len(content) > _FRAME_BYTES or self.draws.random() < self.loss:
            return
        now = self.region.clock.monotonic()
        is_late = self.draws.random() < self.loss
        self.waiting.append(_Datagram(now, host, content))
        if is_late:
            due = now + self.draws.uniform(0, 3)
            self.waiting.append(_Datagram(due, host, content))

    def deliver(self) -> None:
        """Deliver what is due, and the answers to it, in any order."""
        now = self.region.clock.monotonic()
        while any(one.due <= now for one in self.waiting):
            due = [one for one in self.waiting if one.due <= now]
            self.waiting = [one for one in self.waiting if one.due > now]
            if self.loss:
                self.draws.shuffle(due)
            for one in due:
                receiver = self.region.hosts.get(one.receiver)
                if receiver is not None:
                    MessageReceiver(receiver).receive(one.content)


@dataclass(slots=True)
class _Play:
    """A region whose first host gets nearly all requests of all customers."""

    customers: int
    rate: float
    loss: float = 0
    network: _Network = field(init=False)
    clock: ManualClock = field(default_factory=ManualClock)
    used: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        region = Region(_NAMES, self.clock)
        self.network = _Network(region, self.loss)
        for name in _NAMES:
            loop = region.start(name)
            rules = tuple(
                CustomerRule(customer, rate=self.rate, burst=self.rate)
                for customer in self.names
            )
            loop.cluster.index = CatalogIndex(Catalog(1, customers=rules))
            loop.outbox.endpoint = cast(DatagramEndpoint, self.network)

    @property
    def names(self) -> list[str]:
        return [f'cust{number:04}' for number in range(self.customers)]

    def run(self, rounds: int, busy: str = 'a1') -> None:
        """Run heartbeats, and check the rates after each host's."""
        for _ in range(rounds):
            for loop in self.network.region.hosts.values():
                self.clock.advance(_HEARTBEAT_S / len(_NAMES))
                self.network.deliver()
                self._count_demand(busy)
                loop.run_once()
                self.network.deliver()
                self._check_rates()
            self._count_used(self.network.region.hosts[busy])

    def find_rates(self, loop: HeartbeatLoop) -> dict[str, float]:
        """Return what a host may use of each rate, in requests a second."""
        now = self.clock.monotonic()
        limits = loop.tokens.limits
        rates: dict[str, float] = {}
        for name in self.names:
            share = limits.shares.get(name)
            if share is None:
                continue
            limits.refresh(name, now)
            if share.keeper in {'', limits.own_name}:
                rates[name] = limits.customers.rates.get(name, 0)
            else:
                own = limits.given.find_own_fraction(name, now)
                rates[name] = own * share.rate
        return rates

    def _count_demand(self, busy: str) -> None:
        now = self.clock.monotonic()
        demand = self.network.region.hosts[busy].tokens.limits.demand
        for name in self.names:
            demand.count(name, now, amount=self.rate / len(_NAMES))

    def _check_rates(self) -> None:
        total: Counter[str] = Counter()
        for loop in self.network.region.hosts.values():
            total.update(self.find_rates(loop))
        for name, rate in total.items():
            assert rate <= self.rate + _ROUNDING, (name, rate)

    def _count_used(self, loop: HeartbeatLoop) -> None:
        equal = self.rate / len(_NAMES)
        rates = self.find_rates(loop)
        self.used.update(
            name for name, rate in rates.items() if rate > 1.2 * equal
        )


@pytest.mark.parametrize('rate', [_DIVIDED_RATE, _KEPT_RATE])
@pytest.mark.parametrize('customers', [83, 300, 1_000])
def test_messages_about_leases_fit_in_a_frame(
    customers: int, rate: float
) -> None:
    """They grew with the customers, and the network dropped them."""
    play = _Play(customers, rate)
    play.run(6)
    assert max(play.network.largest.values()) <= _FRAME_BYTES, (
        play.network.largest
    )


@pytest.mark.parametrize('customers', [83, 300, 1_000])
def test_each_customer_gets_more_than_a_part_where_it_asks(
    customers: int,
) -> None:
    """Also where the messages have no space for all of them."""
    play = _Play(customers, _DIVIDED_RATE)
    play.run(12)
    assert [name for name in play.names if not play.used[name]] == []


@pytest.mark.parametrize('rate', [_DIVIDED_RATE, _KEPT_RATE])
@pytest.mark.parametrize('loss', [0, 0.1, 0.3])
@pytest.mark.parametrize('customers', [83, 300])
def test_sum_of_the_rates_holds_with_lost_and_late_messages(
    customers: int, loss: float, rate: float
) -> None:
    """A list of kept buckets that was cut ended leases that were used."""
    play = _Play(customers, rate, loss)
    play.run(6)
    play.run(6, busy='a2')
    play.run(4, busy='b1')


def test_heartbeat_ends_no_lease_that_is_used() -> None:
    """Its list of kept buckets was cut to fit in its first message."""
    play = _Play(300, _DIVIDED_RATE)
    lender, borrower = (play.network.region.hosts[one] for one in _NAMES[:2])
    now = play.clock.boottime()
    play.clock.advance(_HEARTBEAT_S)
    for name in play.names:
        borrower.tokens.limits.held.keep(name, now)
    given = lender.tokens.limits.given
    given.note_stamp('a2', now + _HEARTBEAT_S / 2, now + _HEARTBEAT_S)
    loans = given.give_all(
        'a2', dict.fromkeys(play.names, 0.5), now + _HEARTBEAT_S
    )
    assert loans is not None
    for sent in range(3):
        borrower.send_heartbeats()
        borrower.tokens.borrowing.send_requests()
        play.network.deliver()
        left = {given.find_own_fraction(one, now + 1) for one in play.names}
        assert left == {0.5}, sent
