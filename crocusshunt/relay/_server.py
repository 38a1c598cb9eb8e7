"""Answers for processes that reach the table service through this one."""

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

# The configuration is written only by the process that checks changes.
_RESERVED_PREFIX = 'configuration-'


def register_relay(handlers: Handlers, store: TableStore) -> None:
    """Answer reads and transactions from a table service.

    Transactions on the tables of the configuration are refused.
    """
    parts = _RelayHandlers(store)
    handlers.register(ReadRow)(parts.read)
    handlers.register(QueryRows)(parts.query)
    handlers.register(TransactRows)(parts.transact)


class _RelayHandlers:
    def __init__(self, store: TableStore) -> None:
        self._store = store

    async def read(self, question: ReadRow) -> Body:
        """Return one row or none."""
        row = await self._store.read(question.table, question.key)
        if isinstance(row, Err):
            return _refuse(row.err_value)
        found = row.ok_value
        return StoredRows(() if found is None else (found,))

    async def query(self, question: QueryRows) -> Body:
        """Return a range of rows."""
        rows = await self._store.query(question.query)
        if isinstance(rows, Err):
            return _refuse(rows.err_value)
        return StoredRows(rows.ok_value)

    async def transact(self, question: TransactRows) -> Body:
        """Do all writes or none."""
        for write in question.writes:
            if write.table.startswith(_RESERVED_PREFIX):
                return Refusal('table-reserved', write.table)
        outcome = await self._store.transact(question.writes)
        if isinstance(outcome, Err):
            return _refuse(outcome.err_value)
        return Transacted()


def _refuse(error: StoreError) -> Body:
    if isinstance(error, StoreConflictError):
        return WriteConflict(error.table, error.key, error.version)
    return Refusal(error.code, error.describe())
