"""Demand of more customers than the parts of a status name."""

import pytest

from crocusshunt.fleet import (
    FleetSettings,
    FleetView,
    Heartbeat,
    split_status,
)
from crocusshunt.front.tests._region import create_record

_STATUSES = 40
_CALM_FROM = 10


@pytest.mark.parametrize('customers', [100, 200, 300, 400])
def test_demand_that_does_not_change_is_heard_all_the_time(
    customers: int,
) -> None:
    """A customer without an entry counts as one that asks for nothing."""
    view = FleetView(create_record('a1'), FleetSettings())
    view.put(create_record('a2'))
    demand = {f'cust{one:06}': one + 0.25 for one in range(customers)}
    fewest = customers
    for sequence in range(_STATUSES):
        status = Heartbeat('a2', 1, sequence, is_ready=True, demand=demand)
        for message in split_status(status):
            view.handle_message(message, now=sequence)
        heard = view.peers['a2'].heartbeat
        assert heard is not None
        if sequence >= _CALM_FROM:
            fewest = min(fewest, len(heard.demand))
    assert fewest == customers
