"""Tests that verification detects every kind of tampering with a trail."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.audit import encode_record, read_trail, verify_trail
from crocusshunt.configuration import (
    GENESIS_DIGEST,
    Change,
    Edit,
    attach_digest,
)

_LENGTH = 6


def _create_trail() -> list[Change]:
    previous = GENESIS_DIGEST
    records = []
    for revision in range(1, _LENGTH + 1):
        edit = Edit('pool', f'p{revision}', None, '{}')
        record = attach_digest(
            Change(
                revision,
                f'c{revision}',
                'mina',
                'why',
                float(revision),
                (edit,),
                previous,
            ),
        )
        previous = record.digest
        records.append(record)
    return records


_TRAIL = _create_trail()
_HEAD_DIGEST = _TRAIL[-1].digest
_POSITIONS = st.integers(0, _LENGTH - 1)


def test_file_round_trip_of_an_intact_trail() -> None:
    lines = [encode_record(record) for record in _TRAIL]
    read = read_trail(lines).unwrap()
    assert verify_trail(read, _HEAD_DIGEST).unwrap().records == _LENGTH
    assert read_trail([*lines, '{}']).unwrap_err().line == _LENGTH + 1


@settings(derandomize=True, max_examples=20)
@given(_POSITIONS)
def test_removed_record_is_found(position: int) -> None:
    remaining = _TRAIL[:position] + _TRAIL[position + 1 :]
    assert verify_trail(remaining, _HEAD_DIGEST).is_err()
    # Without the expected digest, removing the last record is not detected.
    is_last = position == _LENGTH - 1
    assert verify_trail(remaining).is_err() is not is_last


@settings(derandomize=True, max_examples=40)
@given(_POSITIONS, st.booleans())
def test_altered_record_is_found(position: int, is_author: bool) -> None:
    altered = list(_TRAIL)
    record = altered[position]
    author = 'other' if is_author else record.author
    changed = replace(record, author=author, reason='other')
    altered[position] = changed
    assert verify_trail(altered).is_err()
    # A record with a recomputed digest breaks the chain or changes its end.
    altered[position] = attach_digest(changed)
    assert verify_trail(altered, _HEAD_DIGEST).is_err()


@settings(derandomize=True, max_examples=40)
@given(st.permutations(range(_LENGTH)))
def test_reordered_records_are_found(order: list[int]) -> None:
    reordered = [_TRAIL[position] for position in order]
    is_same = order == sorted(order)
    assert verify_trail(reordered).is_ok() is is_same
