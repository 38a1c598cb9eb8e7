"""Encoding of the change chain as rows of the table service."""

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

HEAD_TABLE = 'configuration-head'
CHANGE_TABLE = 'configuration-change'
CHANGE_ID_TABLE = 'configuration-change-id'
HEAD_KEY = 'head'
_REVISION_DIGITS = 12

_Record = TypeVar('_Record')


@dataclass(frozen=True, slots=True)
class Head:
    """Pointer to the newest revision.

    :param digest: digest of the change that created the revision.
    :param version: version of the head's row, on which the next write is
        conditional.
    """

    revision: int = 0
    digest: str = GENESIS_DIGEST
    version: int = ABSENT


def format_revision(revision: int) -> str:
    """Return the key of a change's row.

    Keys are padded with zeros, so that they sort in the order of revisions.
    """
    return f'{revision:0{_REVISION_DIGITS}d}'


def plan_writes(change: Change, head: Head) -> tuple[Write, ...]:
    """Return the writes of the transaction that appends a change.

    The transaction is conditional on the version of the head row and on the
    absence of the revision and of the change id.

    :param head: the head that the change follows.
    """
    key = format_revision(change.revision)
    body = msgspec.json.encode(change, order='sorted').decode()
    return (
        plan_head_write(Head(change.revision, change.digest, head.version)),
        Write(CHANGE_TABLE, key, body, ABSENT),
        Write(CHANGE_ID_TABLE, change.change_id, key, ABSENT),
    )


def plan_head_write(head: Head) -> Write:
    """Return the write of a head, conditional on the version in ``head``."""
    body = msgspec.json.encode(Head(head.revision, head.digest)).decode()
    return Write(HEAD_TABLE, HEAD_KEY, body, head.version)


def decode_head(row: StoredRow | None) -> Result[Head, StoreError]:
    """Return the head that a row holds, or revision 0 if there is no row."""
    if row is None:
        return Ok(Head())
    head = _decode(row, Head)
    return head.map(
        lambda found: Head(found.revision, found.digest, row.version),
    )


def decode_changes(
    rows: tuple[StoredRow, ...],
) -> Result[tuple[Change, ...], StoreError]:
    """Return the changes that rows hold, or the error of the first bad row."""
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
