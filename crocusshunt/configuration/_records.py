"""Records of the chain of changes, as the table service holds them."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from crocusshunt.configuration._changes import GENESIS_DIGEST, Change
from crocusshunt.store import (
    ABSENT,
    StoreDamagedAnswerError,
    StoredRow,
    StoreError,
    Write,
)

HEADS = 'configuration-head'
CHANGES = 'configuration-change'
CHANGE_IDS = 'configuration-change-id'
HEAD_KEY = 'head'
_REVISION_DIGITS = 12

_Record = TypeVar('_Record')


@dataclass(frozen=True, slots=True)
class Head:
    """The newest revision.

    :param version: version of the head's row, for the next conditional
        write.
    """

    revision: int = 0
    digest: str = GENESIS_DIGEST
    version: int = ABSENT


def format_revision(revision: int) -> str:
    """Return the key of a change, in the order of revisions."""
    return f'{revision:0{_REVISION_DIGITS}d}'


def plan_writes(change: Change, head: Head) -> tuple[Write, ...]:
    """Return the transaction that appends a change behind a head."""
    key = format_revision(change.revision)
    body = msgspec.json.encode(change, order='sorted').decode()
    return (
        plan_head(Head(change.revision, change.digest, head.version)),
        Write(CHANGES, key, body, ABSENT),
        Write(CHANGE_IDS, change.change_id, key, ABSENT),
    )


def plan_head(head: Head) -> Write:
    """Return the write of a head over the version that it names."""
    body = msgspec.json.encode(Head(head.revision, head.digest)).decode()
    return Write(HEADS, HEAD_KEY, body, head.version)


def decode_head(row: StoredRow | None) -> Result[Head, StoreError]:
    """Return the head that a row holds; an absent row is the first one."""
    if row is None:
        return Ok(Head())
    head = _decode(row, Head)
    return head.map(
        lambda found: Head(found.revision, found.digest, row.version),
    )


def decode_changes(
    rows: tuple[StoredRow, ...],
) -> Result[tuple[Change, ...], StoreError]:
    """Return the changes that rows hold, or the first that is damaged."""
    changes: list[Change] = []
    for row in rows:
        change = _decode(row, Change)
        if isinstance(change, Err):
            return change
        changes.append(change.ok_value)
    return Ok(tuple(changes))


def _decode(
    row: StoredRow,
    record: type[_Record],
) -> Result[_Record, StoreError]:
    try:
        return Ok(msgspec.json.decode(row.body, type=record))
    except (msgspec.DecodeError, UnicodeError) as error:
        place = f'{row.table} {row.key}'
        return Err(StoreDamagedAnswerError(f'{place}: {error}'))
