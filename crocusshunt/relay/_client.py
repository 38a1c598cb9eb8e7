"""Table service reached through the operators' interface processes."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.messages import (
    Body,
    PeerRefusalError,
    QueryRows,
    ReadRow,
    RequesterPool,
    StoredRows,
    Transacted,
    TransactRows,
    TransportError,
    WriteConflict,
)
from crocusshunt.store import (
    Query,
    StoreConflictError,
    StoredRow,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
    Write,
)


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Whom to ask.

    :param sources: addresses asked, in order of preference.
    :param timeout_s: longest wait for one answer, in seconds.
    """

    sources: tuple[str, ...]
    timeout_s: float = 3


class RelayedTables:
    """A table service behind any of several processes.

    Reads go to the next source after a failure. A transaction is sent once:
    after a timeout its outcome is unknown, and its sender must read what
    became of it.
    """

    def __init__(
        self,
        settings: RelaySettings,
        requesters: RequesterPool,
    ) -> None:
        """Use shared requesters."""
        self._settings = settings
        self._requesters = requesters
        self._first = 0

    async def read(
        self,
        table: str,
        key: str,
    ) -> Result[StoredRow | None, StoreError]:
        """Return a row, None where it is absent."""
        rows = await self._fetch(ReadRow(table, key))
        return rows.map(lambda found: found[0] if found else None)

    async def query(
        self,
        query: Query,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        """Return the rows of a range, in the order of their keys."""
        return await self._fetch(QueryRows(query))

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        """Do all writes, or none if one condition does not hold."""
        answer = await self._ask(TransactRows(writes))
        if isinstance(answer, Err):
            self._first += 1
            return Err(_find_failure(answer.err_value))
        return _decode_outcome(answer.ok_value)

    async def _fetch(
        self,
        question: Body,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        for _ in self._settings.sources:
            answer = await self._ask(question)
            if isinstance(answer, Ok):
                body = answer.ok_value
                if isinstance(body, StoredRows):
                    return Ok(body.rows)
            self._first += 1
        return Err(StoreUnavailableError('no source gave the rows'))

    async def _ask(self, question: Body) -> Result[Body, TransportError]:
        sources = self._settings.sources
        source = sources[self._first % len(sources)]
        requester = self._requesters.get(source)
        return await requester.exchange(question, self._settings.timeout_s)


def _find_failure(error: TransportError) -> StoreError:
    if not isinstance(error, PeerRefusalError):
        return StoreUnknownOutcomeError(error.describe())
    if error.reason == StoreUnknownOutcomeError.code:
        return StoreUnknownOutcomeError(error.describe())
    return StoreUnavailableError(error.describe())


def _decode_outcome(body: Body) -> Result[None, StoreError]:
    if isinstance(body, Transacted):
        return Ok(None)
    if isinstance(body, WriteConflict):
        return Err(StoreConflictError(body.table, body.key, body.version))
    return Err(StoreUnknownOutcomeError(type(body).__name__))
