"""Status messages whose first datagram has no space left."""

import pytest

from crocusshunt.fleet import Heartbeat, split_status

_REGIONS = tuple(f'region-{number}' for number in range(6))


@pytest.mark.parametrize('pools', [20, 60, 600])
@pytest.mark.parametrize('draining', [0, 64])
def test_status_is_told_if_its_first_message_is_too_large(
    pools: int, draining: int
) -> None:
    """A division by zero ended the loop that sends heartbeats."""
    loads = {f'pool-{number:03}': 1.25 for number in range(pools)}
    status = Heartbeat(
        'a1',
        1,
        1,
        is_ready=True,
        pinned=dict.fromkeys(_REGIONS, loads),
        draining={f'i-{one:010}': (7, 1.25) for one in range(draining)},
    )
    head, *parts = split_status(status)
    assert isinstance(head, Heartbeat)
    assert head.pinned == status.pinned
    told = [name for one in (head, *parts) for name in one.draining]
    assert bool(told) == bool(draining and pools < 60)
