"""Datagrams of one bad host: any field of any message with any value."""

import copy
import math
from collections.abc import Iterator
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.core import ManualClock
from crocusshunt.fleet import (
    Heartbeat,
    KeptRange,
    LeaseNotice,
    LeaseRecall,
    LeasesDropped,
    PartLeases,
    PartRequest,
    RegionSummary,
    StatusPart,
    TokenReply,
    TokenRequest,
)
from crocusshunt.front._receiver import MessageReceiver
from crocusshunt.front.tests._region import RULE, Region

_ROUND_S = 0.5
# After these the first host uses leases of others.
_ROUND_COUNT = 4
_STAMP_S = 2
_SOUND = (
    Heartbeat(
        name='a2',
        started_at=2,
        sequence=5,
        is_ready=True,
        versions=(1, 2, 3),
        demand={'court': 5},
        busy={'p': 3},
        full={'s1': 4},
        pinned={'b': {'p': 1}},
        limits={'s1': (5, 0.1)},
        lost_pools=('p',),
        draining={'s2': (17, 0.2)},
        stamp=_STAMP_S,
        kept=('court',),
        divisions={'p': (0.5, {'b': 1})},
        is_unsure=True,
        dropped=1,
    ),
    RegionSummary(
        name='b1',
        started_at=3,
        sequence=5,
        region='b',
        hosts=2,
        versions=(1, 2, 3),
        demand={'court': 5},
        busy={'p': 3},
        pinned={'a': {'p': 1}},
        limits={'s1': (5, 0.1)},
        relays=('b1',),
        lost_pools=('p',),
        draining={'s2': (17, 0.2)},
    ),
    StatusPart(
        name='a2',
        started_at=2,
        sequence=5,
        demand={'court': 5},
        busy={'p': 3},
        full={'s1': 4},
        limits={'s1': (5, 0.1)},
        draining={'s2': (17, 0.2)},
    ),
    TokenRequest('a2', 1, 'court', patience_s=0.1, lease=_STAMP_S),
    TokenReply('a2', 1, 'a1', is_granted=True, wait_s=0.1, stamp=_STAMP_S),
    LeaseNotice('a2', _STAMP_S, ('court',)),
    PartRequest('a2', _STAMP_S, ('court',), ('court',), (_STAMP_S, 1)),
    PartLeases('a2', _STAMP_S, 1000, {'court': 0.5}),
    KeptRange('a2', _STAMP_S, ('court',), 'a', 'd'),
    LeaseRecall('a2', 5),
    LeasesDropped('a2', 5),
)
_ODD: tuple[Any, ...] = (
    *(math.nan, math.inf, -math.inf, 1e308, -1e308, -1, 0, 5, 0.5),
    *(2**63, 2**64 - 1, -(2**63), None, True, '', 'x' * 200),
    *('a1', 'a2', 'b1', 'court', 'p', 's0'),
    *([], [1], {}, {'p': 1}),
)
_NAMES = ('a1', 'a2', 'b1', 'a3')
_Path = tuple[Any, ...]


def _list_paths(part: object, path: _Path = ()) -> Iterator[_Path]:
    """Yield the places of all values but the message and its tag."""
    if path and path != (0,):
        yield path
    if isinstance(part, list):
        for position, inner in enumerate(part):
            yield from _list_paths(inner, (*path, position))
    elif isinstance(part, dict):
        for name, inner in part.items():
            yield from _list_paths(inner, (*path, name))


_PLAIN = tuple(map(msgspec.to_builtins, _SOUND))
_PLACES = tuple(
    (number, path)
    for number, plain in enumerate(_PLAIN)
    for path in _list_paths(plain)
)


def _encode_odd(place: tuple[int, _Path], value: object) -> bytes:
    number, path = place
    message = copy.deepcopy(_PLAIN[number])
    inner = message
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return msgspec.msgpack.encode(message)


def _run_round(region: Region) -> None:
    """Let the first host have more requests than its part of the rate."""
    assert isinstance(region.clock, ManualClock)
    demand = region.hosts['a1'].tokens.limits.demand
    demand.count('court', region.clock.monotonic(), amount=40)
    region.clock.advance(_ROUND_S)
    for host in region.hosts.values():
        host.run_once()


def _start_region() -> Region:
    region = Region(names=_NAMES, clock=ManualClock())
    for name in _NAMES:
        region.start(name)
    for _ in range(_ROUND_COUNT):
        _run_round(region)
        _check_rates(region, odd_count=0)
    return region


def _check_rates(region: Region, odd_count: int) -> None:
    """Check that the rates are finite, and their sum.

    One message may lend to a host what its sender uses: a part of the rate.
    """
    now = region.clock.monotonic()
    rates = []
    for host in region.hosts.values():
        host.tokens.limits.refresh('court', now)
        rates.append(host.tokens.limits.customers.rates.get('court', 0))
    assert all(map(math.isfinite, rates))
    lent_twice = odd_count * RULE.rate / len(_NAMES)
    assert sum(rates) <= RULE.rate + lent_twice + 1e-6


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(_PLACES), st.sampled_from(_ODD)),
        min_size=1,
        max_size=3,
    )
)
def test_odd_datagrams_end_no_work_and_add_no_more_than_a_part(
    drawn: list[tuple[tuple[int, _Path], object]],
) -> None:
    """Another host is still heard, and the sum of the rates holds."""
    region = _start_region()
    receiver = MessageReceiver(region.hosts['a1'])
    for count, (place, value) in enumerate(drawn, start=1):
        receiver.receive(_encode_odd(place, value))
        _check_rates(region, count)
        _run_round(region)
        _check_rates(region, count)
    live = receiver.loop.cluster.fleet.list_live(region.clock.monotonic())
    assert 'a3' in [peer.record.name for peer in live]
