"""Handlers that relay requests of other processes to the table service."""

from result import Err

from crocusshunt.messages import (
    Body,
    Handlers,
    QueryRows,
    ReadRow,
    Refusal,
    StoredRows,
    Transacted,
    TransactRows,
    WriteConflict,
)
from crocusshunt.store import StoreConflictError, StoreError, TableStore

# Configuration tables are written only by the process that validates changes.
_RESERVED_PREFIX = 'configuration-'


def register_relay(handlers: Handlers, store: TableStore) -> None:
    """Register handlers that pass reads and transactions to a table service.

    Transactions on the tables of the configuration are refused.
    """
    relay_handlers = _RelayHandlers(store)
    handlers.register(ReadRow)(relay_handlers.read)
    handlers.register(QueryRows)(relay_handlers.query)
    handlers.register(TransactRows)(relay_handlers.transact)


class _RelayHandlers:
    def __init__(self, store: TableStore) -> None:
        self._store = store

    async def read(self, request: ReadRow) -> Body:
        """Return one row or none."""
        row = await self._store.read(request.table, request.key)
        if isinstance(row, Err):
            return _build_refusal(row.err_value)
        found = row.ok_value
        return StoredRows(() if found is None else (found,))

    async def query(self, request: QueryRows) -> Body:
        """Return a range of rows."""
        rows = await self._store.query(request.query)
        if isinstance(rows, Err):
            return _build_refusal(rows.err_value)
        return StoredRows(rows.ok_value)

    async def transact(self, request: TransactRows) -> Body:
        """Do all writes or none; refuse writes to configuration tables."""
        for write in request.writes:
            if write.table.startswith(_RESERVED_PREFIX):
                return Refusal('table-reserved', write.table)
        outcome = await self._store.transact(request.writes)
        if isinstance(outcome, Err):
            return _build_refusal(outcome.err_value)
        return Transacted()


def _build_refusal(error: StoreError) -> Body:
    if isinstance(error, StoreConflictError):
        return WriteConflict(error.table, error.key, error.version)
    return Refusal(error.code, error.describe())
