"""Configuration snapshots, which let a host start without every change."""

from dataclasses import dataclass
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from crocusshunt.configuration._changes import Configuration, apply_edits
from crocusshunt.configuration._errors import ConfigurationError, Edit
from crocusshunt.configuration._row_encoding import encode_row
from crocusshunt.routing import Tables

_SEPARATOR = b'\n'


@dataclass(unsafe_hash=True)
class DamagedSnapshotError(ConfigurationError):
    """A damaged snapshot; the reader applies the changes instead.

    :param detail: what is wrong with the snapshot.
    """

    code = 'snapshot-damaged'

    detail: str


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Body of an encoded snapshot.

    :param digest: digest of the change that created the revision.
    :param content: digest of all rows.
    """

    revision: int
    digest: str
    content: str
    rows: tuple[Edit, ...]


def list_rows(tables: Tables) -> tuple[Edit, ...]:
    """Return one edit per row, sorted by table and name.

    Each edit adds its row: ``before`` is None, ``after`` the row's text.
    """
    return tuple(
        Edit(table, name, None, encode_row(row))
        for table, named in sorted(tables.rows.items())
        for name, row in sorted(named.items())
    )


def digest_tables(tables: Tables) -> str:
    """Return the SHA-256 digest of all rows, which is equal for equal tables.

    >>> from crocusshunt.routing import Pool
    >>> left = Tables().put(Pool('a'), Pool('b'))
    >>> digest_tables(left) == digest_tables(Tables().put(Pool('b'), Pool('a')))
    True
    """
    return _digest(msgspec.json.encode(list_rows(tables)))


def encode_snapshot(current: Configuration) -> bytes:
    """Return a snapshot: digest of the body, a newline, the JSON body."""
    snapshot = _Snapshot(
        current.revision,
        current.digest,
        digest_tables(current.tables),
        list_rows(current.tables),
    )
    body = msgspec.json.encode(snapshot)
    return _SEPARATOR.join((_digest(body).encode(), body))


def decode_snapshot(
    encoded: bytes,
) -> Result[Configuration, DamagedSnapshotError]:
    """Return the configuration of a snapshot, or why it is not usable."""
    digest, _separator, body = encoded.partition(_SEPARATOR)
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
