"""Tests of duplicate, malformed, granted and withdrawn keys."""

from dataclasses import replace

import pytest

from crocusshunt.keys import (
    Key,
    Keyring,
    KeyState,
    UnknownKeyError,
    WithdrawnKeyError,
    digest_key,
)
from crocusshunt.routing import Customer, Tables, find_faults
from crocusshunt.schema import is_table

_KEY = 'ck_court-1_00'
_ROW = Key('court-1', 'court', digest_key(_KEY))


def test_duplicate_digest_is_a_fault() -> None:
    assert is_table('operator')
    duplicate = replace(_ROW, name='court-2')
    tables = Tables().put(Customer('court', 1, 1), _ROW, duplicate)
    faults = [str(fault) for fault in find_faults(tables)]
    assert faults == [
        'key court-2: has the same key as key court-1 (allowed: its own key)',
    ]


@pytest.mark.parametrize(
    'presented',
    ['ck_court-1_\udcff', 'ck_court-1_\ud800', 'ck__', '_', 'ck_court-1_'],
)
def test_malformed_keys_are_unknown(presented: str) -> None:
    refused = Keyring((_ROW,)).authenticate(presented)
    assert isinstance(refused.unwrap_err(), UnknownKeyError)


def test_withdrawn_key_is_refused_and_granted_again() -> None:
    withdrawn = replace(_ROW, state=KeyState.withdrawn)
    refused = Keyring((withdrawn,)).authenticate(_KEY)
    assert refused.unwrap_err() == WithdrawnKeyError('court-1')
    assert Keyring((_ROW,)).authenticate(_KEY).is_ok()
