"""Reading of request bodies into memory, within bounds."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.catalog import CatalogIndex, RequestLimits
from crocusshunt.front._connections import HostConnection
from crocusshunt.front._outcomes import Refusal, Status, refuse_unavailable
from crocusshunt.ingress import Account, Holding

_BUFFERS_FULL_RETRY_S = 1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def get_request_limits(index: CatalogIndex | None) -> RequestLimits:
    """Return the limits on callers' requests.

    :param index: the current configuration, None before the first one.
    """
    return RequestLimits() if index is None else index.catalog.limits


def release_body(request: web.BaseRequest, body: bytes | None) -> None:
    """Count a body no more that was read."""
    _get_account(request).hold(Holding.body, -len(body or b''))


async def read_body(
    request: web.BaseRequest, index: CatalogIndex | None, timeout_s: float
) -> Result[bytes | None, Refusal]:
    """Return the whole body, None for a request without one.

    Its size counts on the account of the connection until it is released.

    :param index: the current configuration, which limits its size.
    :param timeout_s: a body that isn't whole by then is refused, in seconds.
    """
    if not request.body_exists:
        return Ok(None)
    max_bytes = get_request_limits(index).body_bytes
    if (request.content_length or 0) > max_bytes:
        return Err(_create_too_large())
    is_expected = request.headers.get('Expect') and not request.content.is_eof()
    if is_expected and request.transport is not None:
        request.transport.write(_CONTINUE)
    account = _get_account(request)
    body = bytearray()
    refusal: Refusal | None = Refusal(Status.body_timeout, 'body-timeout')
    is_whole = False
    try:
        async with _limit_time(timeout_s):
            refusal = await _read_into(body, request, account, max_bytes)
        is_whole = refusal is None
    except web.RequestPayloadError:
        refusal = Refusal(Status.bad_request, 'malformed-body')
    finally:
        if not is_whole:
            account.hold(Holding.body, -len(body))
    if refusal is not None:
        return Err(refusal)
    # A copy of a long body might not fit in the memory.
    return Ok(cast(bytes, body))


@asynccontextmanager
async def _limit_time(timeout_s: float) -> AsyncIterator[None]:
    """Leave the block when the time is over, without an error."""
    timeout = asyncio.timeout(timeout_s)
    try:
        async with timeout:
            yield
    except TimeoutError:
        if not timeout.expired():
            raise


async def _read_into(
    body: bytearray, request: web.BaseRequest, account: Account, max_bytes: int
) -> Refusal | None:
    """Read a body until its end, or until it must be refused.

    :param body: holds what counts on the account.
    """
    async for chunk in request.content.iter_any():
        if len(body) + len(chunk) > max_bytes:
            return _create_too_large()
        if not account.try_hold_body(len(chunk)):
            return refuse_unavailable('buffers-full', _BUFFERS_FULL_RETRY_S)
        body += chunk
    return None


def _create_too_large() -> Refusal:
    return Refusal(Status.too_large, 'body-too-large')


def _get_account(request: web.BaseRequest) -> Account:
    connection = request.protocol
    assert isinstance(connection, HostConnection)  # noqa: S101
    account = connection.account
    assert account is not None  # noqa: S101
    return account
