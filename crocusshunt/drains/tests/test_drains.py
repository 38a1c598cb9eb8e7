"""Drains: refusals, where the load goes, and the end."""

from dataclasses import replace

import pytest

from crocusshunt.drains import (
    Drain,
    DrainBounds,
    DrainIndex,
    DrainKind,
    DrainObservation,
    check_room,
    measure_progress,
    preview_drain,
)
from crocusshunt.routing import FailureDomain, Pool, Server, Tables, find_faults
from crocusshunt.shifts import Shift, ShiftState
from crocusshunt.steering import PoolLoad, Readings

_BOUNDS = DrainBounds(propagation_s=15, lifetime_s=5, deadline_s=30)
_TABLES = Tables().put(
    Pool('verify'),
    FailureDomain('a-1', 'addis'),
    FailureDomain('d-1', 'dire'),
    Server('s1', 'verify', '10.0.0.1:80', 'addis', 'a-1', 4),
    Server('s2', 'verify', '10.0.0.2:80', 'addis', 'a-1', 4),
    Server('s3', 'verify', '10.0.0.3:80', 'dire', 'd-1', 6),
)
_SERVER = Drain('d', DrainKind.server, 's1')
_REGION = Drain('d', DrainKind.region, 'addis')
_HOST = Drain('d', DrainKind.host, 'h1')


def _find_fault(tables: Tables) -> str:
    faults = find_faults(tables)
    assert len(faults) == 1
    return faults[0].problem


def _readings(addis: float, dire: float, age_s: float = 0) -> Readings:
    return Readings(
        {
            ('verify', 'addis'): PoolLoad(8, addis, addis, age_s=age_s),
            ('verify', 'dire'): PoolLoad(6, dire, dire, age_s=age_s),
        },
    )


@pytest.mark.parametrize(
    ('kind', 'target', 'drained'),
    [
        (DrainKind.server, 's1', 's1'),
        (DrainKind.pool, 'verify', 's1 s2 s3'),
        (DrainKind.failure_domain, 'd-1', 's3'),
        (DrainKind.region, 'addis', 's1 s2'),
        (DrainKind.host, 's1', ''),
    ],
)
def test_kinds_name_their_servers(
    kind: DrainKind,
    target: str,
    drained: str,
) -> None:
    """Each kind of drain takes the servers under it off."""
    places = DrainIndex((Drain('d', kind, target),))
    names = [
        server.name
        for server in _TABLES.select(Server)
        if places.is_server_draining(server)
    ]
    assert ' '.join(names) == drained


def test_preview_says_where_the_load_goes() -> None:
    """The slots that are left are listed by region."""
    move = preview_drain(_TABLES, _REGION, _readings(2, 2))[0]
    assert (move.slots_before, move.slots_after, move.busy) == (14, 6, 4)
    assert move.receivers == (('dire', 6),)
    assert move.has_room


@pytest.mark.parametrize(
    'readings',
    [_readings(3, 2), _readings(1, 1, age_s=11), Readings()],
)
def test_no_room_is_refused_unless_overridden(readings: Readings) -> None:
    """A full, stale or unmeasured pool refuses; the override is explicit."""
    refused = check_room(_TABLES, _REGION, readings).unwrap_err()
    assert refused.pools == ('verify',)
    assert check_room(
        _TABLES, replace(_REGION, override=True), readings
    ).is_ok()


def test_other_drains_count() -> None:
    """Two drains that each have room may have none together."""
    readings = _readings(2, 2)
    tables = _TABLES.put(Drain('other', DrainKind.server, 's3'))
    assert check_room(_TABLES, _SERVER, readings).is_ok()
    assert check_room(tables, _SERVER, readings).is_err()


def test_last_server_is_refused_by_the_tables_check() -> None:
    """The configuration refuses to empty a pool without an override."""
    drain = Drain('d', DrainKind.pool, 'verify')
    assert 'without servers' in _find_fault(_TABLES.put(drain))
    assert not find_faults(_TABLES.put(replace(drain, override=True)))
    unknown = replace(_SERVER, target='s9')
    assert 'does not exist' in _find_fault(_TABLES.put(unknown))


def test_shift_into_a_drained_region_is_refused() -> None:
    """Load does not move to where load is leaving."""
    shift = Shift('s', 'verify', 'dire', 'addis', state=ShiftState.running)
    assert 'being drained' in _find_fault(_TABLES.put(shift, _REGION))


@pytest.mark.parametrize(
    ('drain', 'facts', 'stage'),
    [
        (_SERVER, DrainObservation(14, 0), 'spreading'),
        (_SERVER, DrainObservation(16, 1), 'finishing'),
        (_SERVER, DrainObservation(16, 0), 'safe'),
        (_HOST, DrainObservation(16, 0), 'cached'),
        (_HOST, DrainObservation(21, 0), 'safe'),
        # Counted before the last request could have begun.
        (_HOST, DrainObservation(22, 0, age_s=3), 'finishing'),
        (_HOST, DrainObservation(30, 0, age_s=6), 'finishing'),
        # Counts that stop arriving: the longest deadline decides.
        (_HOST, DrainObservation(49), 'finishing'),
        (_HOST, DrainObservation(50), 'safe'),
        # A request that runs past its deadline keeps the drain open.
        (_HOST, DrainObservation(51, 1), 'finishing'),
    ],
)
def test_end_of_a_drain(
    drain: Drain, facts: DrainObservation, stage: str
) -> None:
    """It is safe to switch off only once no request can be running."""
    progress = measure_progress(drain, facts, _BOUNDS)
    assert progress.stage.name == stage
    assert progress.is_safe == (stage == 'safe')
