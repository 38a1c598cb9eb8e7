"""Tests of the consequences of configuration changes."""

from dataclasses import replace

import pytest

from crocusshunt.configuration import EditRequest
from crocusshunt.drains import Drain, DrainKind
from crocusshunt.keys import Key, KeyState
from crocusshunt.operators import Operator, Role
from crocusshunt.plans import Severity, find_consequences, preview_edits
from crocusshunt.routing import (
    Access,
    AddressBlock,
    Customer,
    Link,
    Pool,
    RetryClass,
    Route,
    Row,
    Server,
    ServerState,
    Tables,
    find_row_table,
)
from crocusshunt.shifts import Shift, ShiftState

_KEY = Key('court', 'court', 'a' * 64)
_ROUTE = Route('verify', 'verify', idempotent=False)
_CUSTOMER = Customer('court', 20, 40)
_OPERATOR = Operator('mina', Role.administer, 'b' * 64)
_BLOCK = AddressBlock('addis', '10.0.0.0/8', 'addis')
_LINK = Link('addis-dire', 'addis', 'dire', 100, 55)
_SERVERS = tuple(
    Server(f's{number}', 'verify', f'10.0.0.{number}:80', region, 'a', 4)
    for number, region in enumerate(('addis', 'addis', 'dire'))
)
_CURRENT = Tables().put(
    Pool('verify'),
    Pool('renew'),
    _KEY,
    _ROUTE,
    _CUSTOMER,
    _OPERATOR,
    _BLOCK,
    _LINK,
    *_SERVERS,
)


@pytest.mark.parametrize(
    ('row', 'effect'),
    [
        (replace(_KEY, state=KeyState.withdrawn), 'are refused'),
        (replace(_KEY, digest='c' * 64), 'present secret stops'),
        (replace(_KEY, customer='bar'), 'run for bar'),
        (replace(_ROUTE, pool='renew'), 'moves from pool verify to renew'),
        (replace(_ROUTE, access=Access.open), 'without a key'),
        (replace(_ROUTE, path_prefix='/x'), 'other requests'),
        (
            replace(_ROUTE, idempotent=True, retry=RetryClass.idempotent),
            'run twice',
        ),
        (replace(_CUSTOMER, rate=10), 'rate falls from 20 to 10'),
        (replace(_CUSTOMER, burst=10), 'burst falls from 40 to 10'),
        (replace(_OPERATOR, role=Role.read), 'administer becomes read'),
        (replace(_BLOCK, region='dire'), 'from addis to dire'),
        (replace(_SERVERS[0], state=ServerState.draining), 'no new work'),
        (replace(_SERVERS[2], weight=0), 'no slot is left in dire'),
        (replace(_SERVERS[0], address='10.0.0.9:80'), 'to 10.0.0.9:80'),
    ],
)
def test_changed_row_is_danger(row: Row, effect: str) -> None:
    found = find_consequences(_CURRENT, _CURRENT.put(row))
    dangers = [
        consequence
        for consequence in found
        if consequence.severity is Severity.danger
    ]
    assert effect in ' '.join(consequence.effect for consequence in dangers)


@pytest.mark.parametrize(
    'row',
    [_KEY, _ROUTE, _CUSTOMER, _OPERATOR, _BLOCK, _LINK, _SERVERS[0]],
)
def test_removed_row_is_danger(row: Row) -> None:
    table = find_row_table(row)
    proposed = _CURRENT.remove(table, (row.name,))
    found = find_consequences(_CURRENT, proposed)
    dangers = {
        consequence.place
        for consequence in found
        if consequence.severity is Severity.danger
    }
    assert f'{table} {row.name}' in dangers


def test_shifts_and_drains_are_dangers() -> None:
    shift = Shift('s', 'verify', 'addis', 'dire', state=ShiftState.running)
    drain = Drain('d', DrainKind.region, 'dire')
    started = str(find_consequences(_CURRENT, _CURRENT.put(shift, drain)))
    assert '100% of the load of pool verify in addis moves' in started
    assert 'no slot is left in dire' in started
    moved = _CURRENT.put(replace(shift, moved=0.5))
    removed = str(find_consequences(moved, _CURRENT))
    assert '50% of the load returns to addis at once' in removed


def test_lost_slots_name_broken_promise() -> None:
    drained = [
        replace(server, state=ServerState.draining) for server in _SERVERS
    ]
    two_drained = find_consequences(_CURRENT, _CURRENT.put(*drained[:2]))
    all_drained = find_consequences(_CURRENT, _CURRENT.put(*drained))
    assert 'no region is overloaded' in str(two_drained)
    assert 'reaches a backend server with room' in str(all_drained)


def test_harmless_change_has_no_danger() -> None:
    proposed = _CURRENT.put(replace(_CUSTOMER, rate=30), Pool('ledger'))
    found = find_consequences(_CURRENT, proposed)
    assert Severity.danger not in {
        consequence.severity for consequence in found
    }


def test_preview_collects_all_faults() -> None:
    edits = (
        EditRequest('pool', 'other', '{}'),
        EditRequest('pool', 'verify', None),
    )
    faults = preview_edits(_CURRENT, edits).unwrap_err()
    places = {fault.place for fault in faults}
    assert {'pool other', 'route verify'} <= places
