"""Changes, the hash chain that links them, and their application."""

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
from crocusshunt.configuration._row_encoding import decode_row
from crocusshunt.core import Fault
from crocusshunt.routing import Row, Tables

_DIGEST_HEX_DIGITS = 64
GENESIS_DIGEST = '0' * _DIGEST_HEX_DIGITS


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change, which is also its record in the audit trail.

    Changes form a hash chain: each digest covers the digest of the previous
    change, so altering an old change invalidates every later digest.

    :param revision: number of the revision that the change creates, from 1.
    :param change_id: identifier that the operator's program chose.
    :param time: when it was proposed, in seconds since the Unix epoch.
    :param previous: digest of the previous change, ``GENESIS_DIGEST`` for
        the first.
    :param digest: SHA-256 digest in hexadecimal of this change and, through
        ``previous``, of all changes before it.
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
    """The tables as of one revision.

    :param digest: digest of the change that created the revision.
    """

    revision: int = 0
    digest: str = GENESIS_DIGEST
    tables: Tables = field(default_factory=Tables)


def attach_digest(change: Change) -> Change:
    """Return a change with the digest of its content filled in.

    The digest is the SHA-256 of the change as JSON with sorted fields and
    an empty ``digest`` field.

    >>> change = Change(1, 'c1', 'mina', 'first', 0, (), GENESIS_DIGEST)
    >>> len(attach_digest(change).digest)
    64
    """
    content = msgspec.json.encode(replace(change, digest=''), order='sorted')
    return replace(change, digest=sha256(content).hexdigest())


def apply_change(
    current: Configuration,
    change: Change,
) -> Result[Configuration, ConfigurationError | InvalidChangeError]:
    """Return the configuration after a change.

    A change is refused unless its revision and ``previous`` digest continue
    the current configuration and its own digest matches its content.

    :param current: the configuration of the previous revision.
    """
    follows = current.revision + 1 == change.revision
    if not follows or change.previous != current.digest:
        return Err(BrokenChainError(current.revision, change.revision))
    if attach_digest(change).digest != change.digest:
        return Err(BrokenChainError(current.revision, change.revision))
    tables = apply_edits(current.tables, change.edits)
    return tables.map(
        lambda applied: Configuration(change.revision, change.digest, applied),
    )


def apply_edits(
    tables: Tables,
    edits: tuple[Edit, ...],
) -> Result[Tables, InvalidChangeError]:
    """Return the tables after edits, or the faults of all invalid rows."""
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
