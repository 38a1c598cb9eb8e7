"""Messages of processes that reach the table service through another."""

from crocusshunt.messages._bodies import Body, register_body
from crocusshunt.store import Query, StoredRow, Write


@register_body('read-row')
class ReadRow(Body, frozen=True):
    """Asks for one row."""

    table: str
    key: str


@register_body('query-rows')
class QueryRows(Body, frozen=True):
    """Asks for a range of rows."""

    query: Query


@register_body('stored-rows')
class StoredRows(Body, frozen=True):
    """Rows read, none where the row asked for is absent."""

    rows: tuple[StoredRow, ...]


@register_body('transact-rows')
class TransactRows(Body, frozen=True):
    """Asks for all writes or none."""

    writes: tuple[Write, ...]


@register_body('transacted')
class Transacted(Body, frozen=True):
    """All writes took effect."""


@register_body('write-conflict')
class WriteConflict(Body, frozen=True):
    """A condition did not hold; no write took effect.

    :param version: version found, 0 where the row is absent.
    """

    table: str
    key: str
    version: int
