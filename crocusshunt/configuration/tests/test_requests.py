"""Validation that compares the tables before and after a change."""

from crocusshunt.configuration import (
    ChangeRequest,
    Configuration,
    EditRequest,
    encode_row,
    prepare_change,
)
from crocusshunt.routing import FailureDomain, Pool, Server, Tables
from crocusshunt.shifts import Shift

_SHIFT = Shift('s', 'verify', 'addis', 'dire', step_share=0.1, moved=0)
_CURRENT = Configuration(
    tables=Tables().put(
        FailureDomain('addis-a', 'addis'),
        FailureDomain('dire-a', 'dire'),
        Pool('verify'),
        Server('s1', 'verify', '10.0.0.1:80', 'addis', 'addis-a', slots=4),
        Server('s2', 'verify', '10.0.0.2:80', 'dire', 'dire-a', slots=4),
        _SHIFT,
    ),
)


def test_shift_edit_larger_than_one_step_is_refused() -> None:
    row = encode_row(
        Shift('s', 'verify', 'addis', 'dire', step_share=0.1, moved=0.9),
    )
    request = ChangeRequest(
        'c1',
        0,
        'mina',
        'all at once',
        (EditRequest('shift', 's', row),),
    )
    refused = prepare_change(request, _CURRENT, 1.5).unwrap_err()
    assert 'moves more than one step' in refused.describe()
