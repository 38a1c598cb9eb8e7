"""Tests of roles and of the operator table's checks."""

import pytest

from crocusshunt.configuration import EditRequest
from crocusshunt.keys import Key, digest_key
from crocusshunt.operators import Operator, Role, find_needed_role
from crocusshunt.routing import Customer, Tables, find_faults

_DIGEST = digest_key('ck_mina_00')
_OTHER = digest_key('ck_luka_00')


@pytest.mark.parametrize(
    ('tables', 'role'),
    [
        (('route', 'pool'), Role.operate),
        (('key',), Role.operate),
        (('route', 'operator'), Role.administer),
    ],
)
def test_needed_role(tables: tuple[str, ...], role: Role) -> None:
    edits = [EditRequest(table, 'any', None) for table in tables]
    assert find_needed_role(edits) is role


def test_last_administrator_stays() -> None:
    left = Tables().put(Operator('luka', Role.operate, _OTHER))
    kept = left.put(Operator('mina', Role.administer, _DIGEST))
    assert [fault.place for fault in find_faults(left)] == ['operator']
    assert not find_faults(kept)


def test_key_of_caller_is_no_key_of_operator() -> None:
    tables = Tables().put(
        Customer('court', 1, 1),
        Key('court', 'court', _DIGEST),
        Operator('mina', Role.administer, _DIGEST),
    )
    faults = find_faults(tables)
    assert [fault.place for fault in faults] == ['operator mina']
