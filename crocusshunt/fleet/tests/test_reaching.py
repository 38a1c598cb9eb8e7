"""Choice of the hosts that requests are passed on to."""

from collections import Counter

import pytest

from crocusshunt.fleet import (
    FleetSettings,
    FleetView,
    Heartbeat,
    HostRecord,
    RegionSummary,
    choose_relays,
)


def _record(name: str) -> HostRecord:
    return HostRecord(name, name, 1, f'{name}:1', f'{name[0]}1', name[0])


@pytest.fixture
def view() -> FleetView:
    """Return the view of a1, with hosts in its region and in another one."""
    view = FleetView(_record('a1'), FleetSettings())
    for name in ('a2', 'a3', 'a4', 'a5', 'b1', 'b2'):
        view.put(_record(name))
    return view


def _hear(view: FleetView, name: str, **changes: object) -> None:
    fields = {'name': name, 'started_at': 1, 'sequence': 1, 'is_ready': True}
    message = Heartbeat(**{**fields, **changes})  # type: ignore[arg-type]
    view.handle_message(message, 0)


def _choose(
    view: FleetView,
    allowed: frozenset[str] | None = None,
    turn: int = 0,
    now: float = 1,
) -> list[str]:
    chosen = choose_relays(view, 'pool', allowed, turn, now)
    return [one.name for one in chosen]


def test_hosts_that_cannot_serve_are_left_out(view: FleetView) -> None:
    _hear(view, 'a2', is_cut_off=True)
    _hear(view, 'a3', lost_pools=('pool',))
    _hear(view, 'a4', is_ready=False)
    assert _choose(view) == []
    _hear(view, 'a5', lost_pools=('other-pool',))
    assert _choose(view) == ['a5']
    assert _choose(view, now=10) == []


def test_load_of_a_host_is_spread_over_the_others(view: FleetView) -> None:
    """Three hundred requests, in turn."""
    for name in ('a2', 'a3', 'a4'):
        _hear(view, name)
    first = Counter(_choose(view, turn=turn)[0] for turn in range(300))
    assert first == {'a2': 100, 'a3': 100, 'a4': 100}


def test_other_region_takes_what_it_may_serve(view: FleetView) -> None:
    summary = RegionSummary('b1', 1, 1, 'b', 2, relays=('b1', 'b2'))
    view.handle_message(summary, 0)
    assert _choose(view) == ['b1', 'b2']
    assert _choose(view, allowed=frozenset('a')) == []
    _hear(view, 'a2')
    assert _choose(view) == ['a2']
    assert _choose(view, allowed=frozenset('b')) == ['b1', 'b2']


def test_region_that_lost_the_pool_is_left_out(view: FleetView) -> None:
    summary = RegionSummary(
        'b1', 1, 1, 'b', 2, relays=('b1',), lost_pools=('pool',)
    )
    view.handle_message(summary, 0)
    assert _choose(view) == []
