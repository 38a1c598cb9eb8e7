"""HTTP client of the platform."""

import asyncio
import random
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from crocusshunt.core import Clock, SystemClock
from crocusshunt.storeclient._call_policy import CallPolicy
from crocusshunt.settings import BaseUrl, Duration
from crocusshunt.store._errors import (
    StoreConflictError,
    StoreDamagedAnswerError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from crocusshunt.store._values import HostEntry, Query, StoredRow, Write

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_TOO_MANY = 429
_STATUS_SERVER_ERROR = 500
_STATUS_UNAVAILABLE = 503
_METHOD_READ = 'GET'

_Content = TypeVar('_Content')


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the connection to the platform.

    :param url: base URL of the platform.
    :param timeout_s: longest time for one call with its retries, in
        seconds.
    """

    url: BaseUrl
    timeout_s: Duration = 2


@dataclass(frozen=True, slots=True)
class _Call:
    method: str
    path: str
    body: bytes | None = None
    query: tuple[tuple[str, str], ...] = ()
    expected: tuple[int, ...] = (_STATUS_OK,)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


class HttpPlatform:
    """Client of the platform's HTTP interface; owns its connections.

    Reads are retried within the timeout and a retry budget. A write is sent
    only once: if its response is lost, the caller has to find out by the
    change id whether it took effect.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create a client; connections open on first use."""
        self._settings = settings
        self._clock = clock or SystemClock()
        self.policy = CallPolicy(self._clock, rng or random.Random())
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
        call = _Call(
            _METHOD_READ,
            '/v1/row',
            query=(('table', table), ('key', key)),
            expected=(_STATUS_OK, _STATUS_NOT_FOUND),
        )
        return (await self._call(call)).and_then(_decode_row)

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
        call = _Call(_METHOD_READ, '/v1/rows', query=parameters)
        answer = await self._call(call)
        return answer.and_then(
            lambda answer: _decode(answer, tuple[StoredRow, ...]),
        )

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        """Apply all writes, or none if one version is not the expected one."""
        call = _Call(
            'POST',
            '/v1/transactions',
            msgspec.json.encode(writes),
            expected=(_STATUS_OK, _STATUS_CONFLICT),
        )
        return (await self._call(call)).and_then(_decode_outcome)

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object, None where it is absent."""
        call = _Call(
            _METHOD_READ,
            f'/v1/objects/{name}',
            expected=(_STATUS_OK, _STATUS_NOT_FOUND),
        )
        answer = await self._call(call)
        return answer.map(
            lambda answer: (
                None if answer.status == _STATUS_NOT_FOUND else answer.body
            ),
        )

    async def put_object(
        self,
        name: str,
        body: bytes,
    ) -> Result[None, StoreError]:
        """Create or replace an object."""
        answer = await self._call(_Call('PUT', f'/v1/objects/{name}', body))
        return answer.map(_discard)

    async def list_hosts(self) -> Result[tuple[HostEntry, ...], StoreError]:
        """Return the list of hosts, which may lag behind reality."""
        answer = await self._call(_Call(_METHOD_READ, '/v1/hosts'))
        return answer.and_then(
            lambda answer: _decode(answer, tuple[HostEntry, ...]),
        )

    async def _call(self, call: _Call) -> Result[_Answer, StoreError]:
        if not self.policy.admit():
            return Err(StoreUnavailableError('circuit open'))
        try:
            answer = await self._call_until_deadline(call)
        finally:
            self.policy.release()
        if isinstance(answer, Err):
            self.policy.record_failure()
        else:
            self.policy.record_success()
        return answer

    async def _call_until_deadline(
        self,
        call: _Call,
    ) -> Result[_Answer, StoreError]:
        deadline = self._clock.monotonic() + self._settings.timeout_s
        attempt = 1
        while True:
            answer = await self._attempt(call, deadline)
            if isinstance(answer, Ok) or call.method != _METHOD_READ:
                return answer
            pause_s = self.policy.plan_retry(attempt)
            if pause_s is None or self._clock.monotonic() + pause_s >= deadline:
                return answer
            await asyncio.sleep(pause_s)
            attempt += 1

    async def _attempt(
        self,
        call: _Call,
        deadline: float,
    ) -> Result[_Answer, StoreError]:
        try:
            answer = await self._send(call, deadline)
        except aiohttp.ClientConnectorError as error:
            return Err(StoreUnavailableError(type(error).__name__))
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            return Err(StoreUnknownOutcomeError(type(failure).__name__))
        status_error = _check_status(call, answer.status)
        return Ok(answer) if status_error is None else Err(status_error)

    async def _send(self, call: _Call, deadline: float) -> _Answer:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        remaining = max(0, deadline - self._clock.monotonic())
        async with (
            asyncio.timeout(remaining),
            self._session.request(
                call.method,
                self._settings.url + call.path,
                data=call.body,
                params=call.query,
                allow_redirects=False,
            ) as response,
        ):
            return _Answer(response.status, await response.read())


def _check_status(call: _Call, status: int) -> StoreError | None:
    if status in call.expected:
        return None
    detail = f'status {status}'
    is_write = call.method != _METHOD_READ
    is_processed = status not in {_STATUS_TOO_MANY, _STATUS_UNAVAILABLE}
    if is_write and is_processed and status >= _STATUS_SERVER_ERROR:
        return StoreUnknownOutcomeError(detail)
    return StoreUnavailableError(detail)


def _decode(
    answer: _Answer,
    content: type[_Content],
) -> Result[_Content, StoreError]:
    try:
        return Ok(msgspec.json.decode(answer.body, type=content))
    except (msgspec.DecodeError, UnicodeError) as error:
        return Err(StoreDamagedAnswerError(str(error)))


def _decode_row(answer: _Answer) -> Result[StoredRow | None, StoreError]:
    if answer.status == _STATUS_NOT_FOUND:
        return Ok(None)
    return _decode(answer, StoredRow).map(_widen_type)


def _widen_type(row: StoredRow) -> StoredRow | None:
    """Return the row, typed as optional for the type checker."""
    return row


def _decode_outcome(answer: _Answer) -> Result[None, StoreError]:
    if answer.status != _STATUS_CONFLICT:
        return Ok(None)
    found = _decode(answer, StoredRow)
    if isinstance(found, Err):
        return found
    row = found.ok_value
    return Err(StoreConflictError(row.table, row.key, row.version))


def _discard(answer: _Answer) -> None:
    """Discard a response that tells nothing but success."""
