"""HTTP client of the platform."""

from dataclasses import dataclass

import aiohttp
import msgspec
from result import Err, Ok, Result

from crocusshunt.store._errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from crocusshunt.store._values import HostEntry, Query, StoredRow, Write

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """How to reach the platform.

    :param url: base URL of the platform.
    :param timeout_s: longest wait for one answer, in seconds.
    """

    url: str
    timeout_s: float = 2


@dataclass(frozen=True, slots=True)
class _Call:
    method: str
    path: str
    body: bytes | None = None
    query: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


class HttpPlatform:
    """Client of the platform's HTTP interface; owns its connections."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Prepare the client; connections open on first use."""
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self,
        table: str,
        key: str,
    ) -> Result[StoredRow | None, StoreError]:
        """Return a row, None where it is absent."""
        query = (('table', table), ('key', key))
        answer = await self._call(_Call('GET', '/v1/row', query=query))
        return answer.and_then(_decode_row)

    async def query(
        self,
        query: Query,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        """Return the rows of a range, in the order of their keys."""
        parameters = (
            ('table', query.table),
            ('after', query.after),
            ('limit', str(query.limit)),
        )
        answer = await self._call(_Call('GET', '/v1/rows', query=parameters))
        return answer.map(
            lambda got: msgspec.json.decode(
                got.body,
                type=tuple[StoredRow, ...],
            ),
        )

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        """Do all writes, or none if one condition does not hold."""
        body = msgspec.json.encode(writes)
        answer = await self._call(_Call('POST', '/v1/transactions', body))
        return answer.and_then(_decode_outcome)

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object, None where it is absent."""
        answer = await self._call(_Call('GET', f'/v1/objects/{name}'))
        return answer.map(
            lambda got: None if got.status == _STATUS_NOT_FOUND else got.body,
        )

    async def put_object(
        self,
        name: str,
        body: bytes,
    ) -> Result[None, StoreError]:
        """Create or replace an object."""
        answer = await self._call(_Call('PUT', f'/v1/objects/{name}', body))
        return answer.map(_ignore)

    async def list_hosts(self) -> Result[tuple[HostEntry, ...], StoreError]:
        """Return the lagging list of hosts."""
        answer = await self._call(_Call('GET', '/v1/hosts'))
        return answer.map(
            lambda got: msgspec.json.decode(
                got.body,
                type=tuple[HostEntry, ...],
            ),
        )

    async def _call(self, call: _Call) -> Result[_Answer, StoreError]:
        try:
            answer = await self._send(call)
        except aiohttp.ClientConnectorError as error:
            return Err(StoreUnavailableError(type(error).__name__))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(StoreUnknownOutcomeError(type(error).__name__))
        expected = (_STATUS_OK, _STATUS_NOT_FOUND, _STATUS_CONFLICT)
        if answer.status in expected:
            return Ok(answer)
        return Err(StoreUnavailableError(f'status {answer.status}'))

    async def _send(self, call: _Call) -> _Answer:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
            self._session = aiohttp.ClientSession(timeout=timeout)
        async with self._session.request(
            call.method,
            self._settings.url + call.path,
            data=call.body,
            params=call.query,
        ) as response:
            return _Answer(response.status, await response.read())


def _decode_row(answer: _Answer) -> Result[StoredRow | None, StoreError]:
    if answer.status == _STATUS_NOT_FOUND:
        return Ok(None)
    return Ok(msgspec.json.decode(answer.body, type=StoredRow))


def _decode_outcome(answer: _Answer) -> Result[None, StoreError]:
    if answer.status == _STATUS_CONFLICT:
        found = msgspec.json.decode(answer.body, type=StoredRow)
        return Err(StoreConflictError(found.table, found.key, found.version))
    return Ok(None)


def _ignore(answer: _Answer) -> None:
    """Drop an answer that carries nothing but success."""
