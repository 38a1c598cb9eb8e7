"""Changes, their hash chain, and their application."""

from dataclasses import dataclass, field, replace
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from crocusshunt.configuration._errors import (
    BrokenChainError,
    ConfigurationError,
    Edit,
    InvalidChangeError,
)
from crocusshunt.configuration._rows import decode_row
from crocusshunt.core import Fault
from crocusshunt.routing import Row, Tables

_DIGEST_DIGITS = 64
GENESIS_DIGEST = '0' * _DIGEST_DIGITS


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change, which is also its record in the audit trail.

    :param time: when it was proposed, in seconds since the Unix epoch.
    :param previous: digest of the change before.
    :param digest: digest of this change and, through ``previous``, of all
        changes before it.
    """

    revision: int
    change_id: str
    author: str
    reason: str
    time: float
    edits: tuple[Edit, ...]
    previous: str
    digest: str = ''


@dataclass(frozen=True, slots=True)
class Configuration:
    """The tables as of one revision."""

    revision: int = 0
    digest: str = GENESIS_DIGEST
    tables: Tables = field(default_factory=Tables)


def attach_digest(change: Change) -> Change:
    """Return a change with the digest of its content.

    >>> change = Change(1, 'c1', 'mina', 'first', 0, (), GENESIS_DIGEST)
    >>> len(attach_digest(change).digest)
    64
    """
    content = msgspec.json.encode(replace(change, digest=''), order='sorted')
    return replace(change, digest=sha256(content).hexdigest())


def apply_change(
    held: Configuration,
    change: Change,
) -> Result[Configuration, ConfigurationError | InvalidChangeError]:
    """Return the configuration after a change.

    :param held: the configuration of the revision before.
    """
    follows = held.revision + 1 == change.revision
    if not follows or change.previous != held.digest:
        return Err(BrokenChainError(held.revision, change.revision))
    if attach_digest(change).digest != change.digest:
        return Err(BrokenChainError(held.revision, change.revision))
    tables = apply_edits(held.tables, change.edits)
    return tables.map(
        lambda applied: Configuration(change.revision, change.digest, applied),
    )


def apply_edits(
    tables: Tables,
    edits: tuple[Edit, ...],
) -> Result[Tables, InvalidChangeError]:
    """Return tables after edits, or all rows that are not valid."""
    faults: list[Fault] = []
    rows: list[Row] = []
    for edit in edits:
        if edit.after is None:
            tables = tables.remove(edit.table, (edit.name,))
            continue
        decoded = decode_row(edit.table, edit.name, edit.after)
        if isinstance(decoded, Ok):
            rows.append(decoded.ok_value)
        else:
            faults.extend(decoded.err_value)
    if faults:
        return Err(InvalidChangeError(tuple(faults)))
    return Ok(tables.put(*rows))
