"""Parts of a status that no host of this build sends."""

import pytest

from crocusshunt.fleet import (
    FleetSettings,
    FleetView,
    Heartbeat,
    HostRecord,
    StatusPart,
)

_OWN = HostRecord('a1', '10.0.0.1', 7600, '10.0.0.1:80', 'a-1', 'a')
_SENDER = HostRecord('a2', '10.0.0.2', 7600, '10.0.0.2:80', 'a-1', 'a')
_DATAGRAMS = 1_000
_MAX_CUSTOMERS = 10


@pytest.mark.parametrize('parts', [-1, 0, 1, 2, 10**9])
def test_parts_without_end_take_little_memory(parts: int) -> None:
    """Each was kept, and compared with all before it."""
    view = FleetView(_OWN, FleetSettings())
    view.put(_SENDER)
    head = Heartbeat('a2', 1, 7, is_ready=True, parts=parts)
    view.handle_message(head, now=0)
    for number in range(_DATAGRAMS):
        part = StatusPart('a2', 1, 7, demand={f'c{number}': 1.5})
        view.handle_message(part, now=0)
    heard = view.peers['a2'].heartbeat
    assert heard is not None
    assert len(heard.demand) <= _MAX_CUSTOMERS


def test_customers_that_stopped_are_forgotten_though_parts_are_lost() -> None:
    """Their demand was kept until a status came whole."""
    view = FleetView(_OWN, FleetSettings())
    view.put(_SENDER)
    for sequence in range(100):
        demand = {f'c{sequence}': 1.5}
        head = Heartbeat(
            'a2', 1, sequence, is_ready=True, demand=demand, parts=2
        )
        view.handle_message(head, now=sequence)
    heard = view.peers['a2'].heartbeat
    assert heard is not None
    assert len(heard.demand) <= _MAX_CUSTOMERS
