"""Client of the table service behind the operators' interface processes."""

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
    """Processes to send requests to.

    :param sources: addresses asked, in order of preference.
    :param timeout_s: longest wait for one answer, in seconds.
    """

    sources: tuple[str, ...]
    timeout_s: float = 3


class RelayedTables:
    """A table service that is reached through any of several processes.

    After a failure a read is sent to the next source. A transaction is sent
    only once: after a timeout its outcome is unknown, and the caller must read
    the rows to learn it.

    :ivar _source_index: number of the next source to ask, counted up after
        each failure and taken modulo the number of sources.
    """

    def __init__(
        self,
        settings: RelaySettings,
        requesters: RequesterPool,
    ) -> None:
        """Use shared sockets, starting with the first source."""
        self._settings = settings
        self._requesters = requesters
        self._source_index = 0

    async def read(
        self,
        table: str,
        key: str,
    ) -> Result[StoredRow | None, StoreError]:
        """Return a row, None if it does not exist."""
        rows = await self._fetch(ReadRow(table, key))
        return rows.map(lambda found: found[0] if found else None)

    async def query(
        self,
        query: Query,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        """Return the rows of a key range, in the order of their keys."""
        return await self._fetch(QueryRows(query))

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        """Do all writes, or none if the condition of one does not hold."""
        answer = await self._send(TransactRows(writes))
        if isinstance(answer, Err):
            self._source_index += 1
            return Err(_convert_error(answer.err_value))
        return _decode_outcome(answer.ok_value)

    async def _fetch(
        self,
        request: Body,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        for _ in self._settings.sources:
            answer = await self._send(request)
            if isinstance(answer, Ok):
                body = answer.ok_value
                if isinstance(body, StoredRows):
                    return Ok(body.rows)
            self._source_index += 1
        return Err(StoreUnavailableError('no source gave the rows'))

    async def _send(self, request: Body) -> Result[Body, TransportError]:
        sources = self._settings.sources
        source = sources[self._source_index % len(sources)]
        requester = self._requesters.get(source)
        return await requester.exchange(request, self._settings.timeout_s)


def _convert_error(error: TransportError) -> StoreError:
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
