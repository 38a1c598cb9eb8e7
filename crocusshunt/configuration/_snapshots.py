"""Snapshots of a configuration, which spare a starting host the whole log."""

from dataclasses import dataclass
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from crocusshunt.configuration._changes import Configuration, apply_edits
from crocusshunt.configuration._errors import ConfigurationError, Edit
from crocusshunt.configuration._rows import encode_row
from crocusshunt.routing import Tables

_SEPARATOR = b'\n'


@dataclass(unsafe_hash=True)
class DamagedSnapshotError(ConfigurationError):
    """A snapshot that cannot be trusted; the log is used instead.

    :param detail: what was seen.
    """

    code = 'snapshot-damaged'

    detail: str


@dataclass(frozen=True, slots=True)
class _Snapshot:
    revision: int
    digest: str
    content: str
    rows: tuple[Edit, ...]


def list_rows(tables: Tables) -> tuple[Edit, ...]:
    """Return one edit for each row, sorted, with its text in ``after``."""
    return tuple(
        Edit(table, name, None, encode_row(row))
        for table, named in sorted(tables.rows.items())
        for name, row in sorted(named.items())
    )


def digest_tables(tables: Tables) -> str:
    """Return the digest of all rows, the same for equal tables.

    >>> from crocusshunt.routing import Pool
    >>> one = Tables().put(Pool('a'), Pool('b'))
    >>> digest_tables(one) == digest_tables(Tables().put(Pool('b'), Pool('a')))
    True
    """
    return _digest(msgspec.json.encode(list_rows(tables)))


def encode_snapshot(held: Configuration) -> bytes:
    """Return a snapshot: the digest of its body, a newline, the body."""
    snapshot = _Snapshot(
        held.revision,
        held.digest,
        digest_tables(held.tables),
        list_rows(held.tables),
    )
    body = msgspec.json.encode(snapshot)
    return _SEPARATOR.join((_digest(body).encode(), body))


def decode_snapshot(
    archived: bytes,
) -> Result[Configuration, DamagedSnapshotError]:
    """Return the configuration of a snapshot, or why it is refused."""
    digest, _separator, body = archived.partition(_SEPARATOR)
    if digest != _digest(body).encode():
        return Err(DamagedSnapshotError('the digest does not match the body'))
    try:
        snapshot = msgspec.json.decode(body, type=_Snapshot)
    except (msgspec.DecodeError, UnicodeError) as error:
        return Err(DamagedSnapshotError(str(error)))
    tables = apply_edits(Tables(), snapshot.rows)
    if isinstance(tables, Err):
        return Err(DamagedSnapshotError(tables.err_value.describe()))
    if digest_tables(tables.ok_value) != snapshot.content:
        return Err(DamagedSnapshotError('the rows do not match their digest'))
    return Ok(
        Configuration(snapshot.revision, snapshot.digest, tables.ok_value),
    )


def _digest(body: bytes) -> str:
    return sha256(body).hexdigest()
