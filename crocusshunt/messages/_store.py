"""Messages that relay table service calls through another process."""

from crocusshunt.messages._bodies import Body, register_body
from crocusshunt.store import Query, StoredRow, Write


@register_body('read-row')
class ReadRow(Body, frozen=True):
    """Requests one row by its key."""

    table: str
    key: str


@register_body('query-rows')
class QueryRows(Body, frozen=True):
    """Requests a range of rows."""

    query: Query


@register_body('stored-rows')
class StoredRows(Body, frozen=True):
    """Returns the rows found; empty if the requested row does not exist."""

    rows: tuple[StoredRow, ...]


@register_body('transact-rows')
class TransactRows(Body, frozen=True):
    """Requests that all writes are applied atomically, or none."""

    writes: tuple[Write, ...]


@register_body('transacted')
class Transacted(Body, frozen=True):
    """Reports that all writes were applied."""


@register_body('write-conflict')
class WriteConflict(Body, frozen=True):
    """Reports a failed write condition; no write was applied.

    :param table: table of the row whose condition failed.
    :param key: key of that row.
    :param version: current version of that row, 0 if it does not exist.
    """

    table: str
    key: str
    version: int
