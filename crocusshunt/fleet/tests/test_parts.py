"""Status messages that have more to tell than one datagram carries."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.crashes import CrashReport
from crocusshunt.fleet import (
    MAX_DATAGRAM_BYTES,
    FleetSettings,
    FleetView,
    Heartbeat,
    HostRecord,
    RegionSummary,
    StatusMessage,
    decode_message,
    encode,
    split_status,
)

_OWN = HostRecord('a1', '10.0.0.1', 7600, '10.0.0.1:80', 'a-1', 'a')
_SENDER = HostRecord('a2', '10.0.0.2', 7600, '10.0.0.2:80', 'a-1', 'a')
_COUNTS = st.integers(min_value=0, max_value=600)
# Rounds within which each item reaches a host, without and with losses.
_CALM_ROUNDS_COUNT = 10
_LOSSY_ROUNDS_COUNT = 30


def _create_status(
    sequence: int, crashes: int, draining: int, servers: int, customers: int
) -> Heartbeat:
    return Heartbeat(
        'a2',
        started_at=1,
        sequence=sequence,
        is_ready=True,
        versions=(70_000_000, 70_000_000, 70_000_000),
        demand={f'cust{one:04}': one + 0.25 for one in range(customers)},
        full={f'i-{one:010}': 7 for one in range(servers)},
        limits={f'i-{one:010}': (2.5, 0.25) for one in range(servers)},
        crashes=[
            CrashReport(f'{one:016}', ages_s={'i-1@5': 0.5, 'i-2@6': 0.5})
            for one in range(crashes)
        ],
        draining={f'i-{one:010}': (10**12, 1.25) for one in range(draining)},
        kept=tuple(f'cust{one:04}' for one in range(customers // 20)),
    )


@given(_COUNTS, _COUNTS, _COUNTS, _COUNTS)
@settings(max_examples=30, deadline=None)
def test_no_message_is_over_the_bound(
    crashes: int, draining: int, servers: int, customers: int
) -> None:
    """Heartbeats grew with changes until the network dropped them."""
    status = _create_status(1, crashes, draining, servers, customers)
    for message in split_status(status):
        assert len(encode(message)) <= MAX_DATAGRAM_BYTES


def test_status_is_the_same_in_parts() -> None:
    status = _create_status(1, 3, 20, 30, 83)
    view = FleetView(_OWN, FleetSettings())
    view.put(_SENDER)
    messages = split_status(status)
    assert len(messages) > 1
    for message in messages:
        decoded = decode_message(encode(message))
        assert isinstance(decoded, type(message))
        view.handle_message(decoded, now=0)
    heard = view.peers['a2'].heartbeat
    assert heard is not None
    assert heard.demand == status.demand
    assert set(heard.kept) == set(status.kept)


@pytest.mark.parametrize('loss', [0, 0.03, 0.1])
@pytest.mark.parametrize('seed', range(5))
def test_each_item_reaches_a_host_in_turn(loss: float, seed: int) -> None:
    """Also where there is more to tell than the parts carry."""
    draws = random.Random(seed)
    missing: dict[str, set[str]] = {}
    rounds = _LOSSY_ROUNDS_COUNT if loss else _CALM_ROUNDS_COUNT
    for sequence in range(1, rounds + 1):
        status = _create_status(sequence, 32, 64, 100, 100)
        items = {
            'crashes': {one.fingerprint for one in status.crashes},
            'draining': set(status.draining),
            'limits': set(status.limits),
            'demand': set(status.demand),
        }
        missing = missing or items
        for message in split_status(status):
            if draws.random() < loss:
                continue
            missing['crashes'] -= {one.fingerprint for one in message.crashes}
            for name in ('draining', 'limits', 'demand'):
                missing[name] -= set(getattr(message, name))
    assert missing == {name: set() for name in missing}


@pytest.mark.parametrize('loss', [0, 0.03, 0.1])
def test_host_is_heard_however_much_there_is_to_tell(loss: float) -> None:
    """Hosts that ran well counted as silent."""
    draws = random.Random(1)
    view = FleetView(_OWN, FleetSettings())
    view.put(_SENDER)
    heard_at: float = 0
    longest_s: float = 0
    for second in range(300):
        for message in split_status(_create_status(second, 32, 64, 300, 300)):
            if draws.random() >= loss:
                view.handle_message(message, now=second)
        if view.peers['a2'].received_at == second:
            heard_at = second
        longest_s = max(longest_s, second - heard_at)
    assert longest_s < FleetSettings().silent_after_s


def test_entries_of_a_lost_part_are_those_of_the_status_before() -> None:
    view = FleetView(_OWN, FleetSettings())
    view.put(_SENDER)
    for sequence in (1, 2):
        messages = split_status(_create_status(sequence, 0, 20, 30, 120))
        for message in messages[: len(messages) - sequence + 1]:
            view.handle_message(message, now=sequence)
    heard = view.peers['a2'].heartbeat
    assert heard is not None
    assert heard.sequence == 2
    assert len(heard.demand) == 120


class _FormerHeartbeat(
    msgspec.Struct, frozen=True, array_like=True, tag='host'
):
    name: str
    started_at: int
    sequence: int
    is_ready: bool


def test_former_build_understands_the_first_message() -> None:
    """It knows neither the last field nor the other parts."""
    status = _create_status(5, 10, 64, 300, 300)
    heard = msgspec.msgpack.decode(
        encode(split_status(status)[0]), type=_FormerHeartbeat
    )
    assert (heard.name, heard.sequence, heard.is_ready) == ('a2', 5, True)


def test_summary_of_a_region_is_told_in_parts() -> None:
    summary: StatusMessage = RegionSummary(
        'b1',
        started_at=1,
        sequence=4,
        region='b',
        hosts=20,
        demand={f'cust{one:04}': one + 0.25 for one in range(200)},
        draining={f'i-{one:010}': (10**12, 1.25) for one in range(64)},
    )
    record = HostRecord('b1', '10.0.0.3', 7600, '10.0.0.3:80', 'b-1', 'b')
    view = FleetView(_OWN, FleetSettings())
    view.put(record)
    for message in split_status(summary):
        assert len(encode(message)) <= MAX_DATAGRAM_BYTES
        view.handle_message(message, now=0)
    heard = view.list_summaries(now=1)[0]
    assert heard.demand == summary.demand


def test_status_without_space_for_items_is_still_told() -> None:
    """An error here would end the heartbeats of the host."""
    pools = tuple(f'a-pool-with-a-long-name-{one:04}' for one in range(300))
    status = Heartbeat('a2', 1, 1, True, lost_pools=pools)
    assert split_status(status)[0].name == 'a2'
