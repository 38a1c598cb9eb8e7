"""Tests of the required role and of the operator table's checks."""

import pytest

from crocusshunt.configuration import EditRequest
from crocusshunt.keys import Key, digest_key
from crocusshunt.operators import Operator, Role, find_needed_role
from crocusshunt.routing import Customer, Tables, find_faults

_MINA_DIGEST = digest_key('ck_mina_00')
_LUKA_DIGEST = digest_key('ck_luka_00')


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


def test_one_administrator_is_required() -> None:
    without_administrator = Tables().put(
        Operator('luka', Role.operate, _LUKA_DIGEST)
    )
    complete = without_administrator.put(
        Operator('mina', Role.administer, _MINA_DIGEST)
    )
    assert [fault.place for fault in find_faults(without_administrator)] == [
        'operator'
    ]
    assert not find_faults(complete)


def test_operator_and_customer_keys_must_differ() -> None:
    tables = Tables().put(
        Customer('court', 1, 1),
        Key('court', 'court', _MINA_DIGEST),
        Operator('mina', Role.administer, _MINA_DIGEST),
    )
    faults = find_faults(tables)
    assert [fault.place for fault in faults] == ['operator mina']
