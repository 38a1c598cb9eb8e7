"""Refusal, effect on pools and completion of drains."""

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


def _get_only_problem(tables: Tables) -> str:
    faults = find_faults(tables)
    assert len(faults) == 1
    return faults[0].problem


def _create_readings(addis: float, dire: float, age_s: float = 0) -> Readings:
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
def test_each_kind_covers_its_servers(
    kind: DrainKind,
    target: str,
    drained: str,
) -> None:
    """A drain of each kind covers the servers that belong to its target."""
    index = DrainIndex((Drain('d', kind, target),))
    names = [
        server.name
        for server in _TABLES.select(Server)
        if index.is_server_draining(server)
    ]
    assert ' '.join(names) == drained


def test_preview_lists_receiving_regions() -> None:
    """The preview lists the remaining slots by region."""
    impact = preview_drain(_TABLES, _REGION, _create_readings(2, 2))[0]
    assert (impact.slots_before, impact.slots_after, impact.busy) == (14, 6, 4)
    assert impact.receivers == (('dire', 6),)
    assert impact.has_room


@pytest.mark.parametrize(
    'readings',
    [_create_readings(3, 2), _create_readings(1, 1, age_s=11), Readings()],
)
def test_insufficient_capacity_is_refused_without_override(
    readings: Readings,
) -> None:
    """A full pool or one with old or no measurements needs an override."""
    refused = check_room(_TABLES, _REGION, readings).unwrap_err()
    assert refused.pools == ('verify',)
    assert check_room(
        _TABLES, replace(_REGION, override=True), readings
    ).is_ok()


def test_other_drains_reduce_capacity() -> None:
    """A drain that fits alone is refused if another one takes the capacity."""
    readings = _create_readings(2, 2)
    tables = _TABLES.put(Drain('other', DrainKind.server, 's3'))
    assert check_room(_TABLES, _SERVER, readings).is_ok()
    assert check_room(tables, _SERVER, readings).is_err()


def test_drain_of_last_servers_fails_validation() -> None:
    """Validation refuses to leave a pool without servers, and wrong names."""
    drain = Drain('d', DrainKind.pool, 'verify')
    assert 'without servers' in _get_only_problem(_TABLES.put(drain))
    assert not find_faults(_TABLES.put(replace(drain, override=True)))
    unknown = replace(_SERVER, target='s9')
    assert 'does not exist' in _get_only_problem(_TABLES.put(unknown))


def test_shift_into_drained_region_fails_validation() -> None:
    """A running shift may not move load into a region being drained."""
    shift = Shift('s', 'verify', 'dire', 'addis', state=ShiftState.running)
    assert 'being drained' in _get_only_problem(_TABLES.put(shift, _REGION))


@pytest.mark.parametrize(
    ('drain', 'observation', 'stage'),
    [
        (_SERVER, DrainObservation(14, 0), 'propagating'),
        (_SERVER, DrainObservation(16, 1), 'finishing'),
        (_SERVER, DrainObservation(16, 0), 'safe'),
        (_HOST, DrainObservation(16, 0), 'cache_expiring'),
        (_HOST, DrainObservation(21, 0), 'safe'),
        # The count is from before the last request could have begun.
        (_HOST, DrainObservation(22, 0, age_s=3), 'finishing'),
        (_HOST, DrainObservation(30, 0, age_s=6), 'finishing'),
        # No counts arrive: the longest deadline decides.
        (_HOST, DrainObservation(49), 'finishing'),
        (_HOST, DrainObservation(50), 'safe'),
        # A request that runs past its deadline keeps the drain unfinished.
        (_HOST, DrainObservation(51, 1), 'finishing'),
    ],
)
def test_stages_of_a_drain(
    drain: Drain, observation: DrainObservation, stage: str
) -> None:
    """A target is safe to switch off only when no request can run on it."""
    progress = measure_progress(drain, observation, _BOUNDS)
    assert progress.stage.name == stage
    assert progress.is_safe == (stage == 'safe')
