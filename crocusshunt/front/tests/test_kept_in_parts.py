"""Leases to hosts that keep more customers than one datagram names."""

import pytest

from crocusshunt.core import ManualClock
from crocusshunt.fleet import Heartbeat, Message, encode, split_status
from crocusshunt.front._kept_customers import KeptCustomers
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front.tests._region import Region
from crocusshunt.sharing import HeldLeases

_STAMP_S = 70.0
# Names of so many customers take two and five datagrams.
_COUNTS = (150, 600)
_RANGES_COUNT = 6
_ALL = slice(None)
_FIRST = slice(1)
_WITHOUT_FIRST = slice(1, None)
_REVERSED = slice(None, None, -1)


def _name_customers(count: int) -> tuple[str, ...]:
    return tuple(f'cust{number:06}' for number in range(count))


def _lend(count: int) -> tuple[Region, MessageReceiver]:
    """Let a host lend its whole parts of so many customers to a keeper."""
    region = Region(names=('a1', 'a2'))
    loop = region.start('a1')
    receiver = MessageReceiver(loop)
    _hear(receiver, 1, count)
    given = loop.tokens.limits.given
    now = region.clock.boottime()
    for customer in _name_customers(count):
        assert given.give(customer, 'a2', now) == _STAMP_S + 1
    return region, receiver


def _hear(
    receiver: MessageReceiver,
    sequence: int,
    count: int,
    arriving: slice = _ALL,
) -> None:
    """Receive what the keeper tells with a heartbeat.

    :param arriving: its datagrams that arrive, in their order.
    """
    clock = ManualClock(_STAMP_S + sequence)
    held = HeldLeases()
    for customer in _name_customers(count):
        held.keep(customer, clock.boottime())
    kept = KeptCustomers('a2', held, clock)
    stamp, names = kept.tell()
    heartbeat = Heartbeat(
        'a2',
        started_at=9,
        sequence=sequence,
        is_ready=True,
        stamp=stamp,
        kept=names,
    )
    told: list[Message] = list(split_status(heartbeat))
    if not stamp:
        ranges = [kept.tell_range() for _number in range(_RANGES_COUNT)]
        told += [one for one in ranges if one is not None]
    for message in told[arriving]:
        receiver.receive(encode(message))


@pytest.mark.parametrize('count', _COUNTS)
@pytest.mark.parametrize(
    'arriving', [_ALL, _FIRST, _WITHOUT_FIRST, _REVERSED], ids=str
)
def test_part_that_a_keeper_uses_is_not_used_by_its_owner(
    count: int, arriving: slice
) -> None:
    """Both used it, since a datagram did not name the customer as kept."""
    region, receiver = _lend(count)
    region.clock.advance(1)  # type: ignore[attr-defined]
    _hear(receiver, 2, count, arriving)
    given = receiver.loop.tokens.limits.given
    now = region.clock.boottime()
    own = {
        customer
        for customer in _name_customers(count)
        if given.find_own_fraction(customer, now)
    }
    assert not own


@pytest.mark.parametrize('count', [20, 150])
def test_part_is_used_again_once_its_keeper_does_not_keep_it(
    count: int,
) -> None:
    region, receiver = _lend(count)
    region.clock.advance(1)  # type: ignore[attr-defined]
    _hear(receiver, 2, count - 1)
    given = receiver.loop.tokens.limits.given
    released = _name_customers(count)[-1]
    assert given.find_own_fraction(released, region.clock.boottime()) == 1
