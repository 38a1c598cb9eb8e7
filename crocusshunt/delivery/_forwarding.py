"""Streaming of one attempt of a request to a backend server and back."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from crocusshunt.delivery._headers import REQUEST_ID_HEADER
from crocusshunt.delivery._outcomes import (
    Answered,
    NotRun,
    Outcome,
    ResponseInterrupted,
    UnknownOutcome,
)
from crocusshunt.routing import Server

OVERLOAD_HEADER = 'X-Overloaded'
OVERLOAD_NOT_RUN = 'not-run'

_CHUNK_BYTES = 65_536
_MAX_HEADER_BYTES = 16_384
_KEEPALIVE_S = 4
_CONNECT_TIMEOUT_S = 1
_OVERLOAD_RETRY_S = 1
_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503
_STATUS_GATEWAY_TIMEOUT = 504
_BODILESS_STATUSES = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request as the backend server will see it.

    :param target: encoded path and query, as sent to the server.
    :param body: chunks of the body or all of it, None without one.
    :param timeout_s: time left until the request's deadline, in seconds.
    :param is_repeatable: whether an attempt of unknown outcome may be
        repeated.
    """

    request_id: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: AsyncIterator[bytes] | bytes | None
    timeout_s: float
    is_repeatable: bool


Relay = Callable[[aiohttp.ClientResponse], Awaitable[None]]


@dataclass(slots=True)
class Attempt:
    """One attempt to have one server run a request.

    :param relay: streams the response to the caller.
    :param relayed_status: HTTP status of the response once its relay to the
        caller has begun, None before.
    """

    server: Server
    request: ForwardRequest
    relay: Relay
    relayed_status: int | None = None


class Forwarder:
    """Sends attempts, and owns the connections to backend servers.

    A connection is reused only for repeatable requests, to servers whose
    responses echo the request id; each such response is compared with its
    request. So a late or duplicate response on a reused connection never
    reaches the caller of another request.
    """

    def __init__(self) -> None:
        """Create a forwarder without connections; they open on first use."""
        self._reusing_session: aiohttp.ClientSession | None = None
        self._closing_session: aiohttp.ClientSession | None = None
        self._echoing_addresses: set[str] = set()

    async def start(self) -> None:
        """Create the client sessions."""
        self._reusing_session = _create_session(force_close=False)
        self._closing_session = _create_session(force_close=True)

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._reusing_session, self._closing_session):
            if session is not None:
                await session.close()

    async def send(self, attempt: Attempt) -> Outcome:
        """Send a request to a server and relay the response to the caller."""
        try:
            return await self._exchange(attempt)
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            if attempt.relayed_status is not None:
                return ResponseInterrupted(
                    attempt.relayed_status, type(error).__name__
                )
            return _classify_error(error)

    async def _exchange(self, attempt: Attempt) -> Outcome:
        request = attempt.request
        address = attempt.server.address
        is_reused = request.is_repeatable and address in self._echoing_addresses
        session = self._reusing_session if is_reused else self._closing_session
        assert session is not None  # noqa: S101
        async with session.request(
            request.method,
            URL(f'http://{address}{request.target}', encoded=True),
            headers=request.headers,
            data=request.body,
            timeout=aiohttp.ClientTimeout(
                total=request.timeout_s,
                sock_connect=_CONNECT_TIMEOUT_S,
            ),
            allow_redirects=False,
        ) as response:
            refusal = self._check_response(
                attempt, response, is_reused=is_reused
            )
            if refusal is not None:
                response.close()
                return refusal
            attempt.relayed_status = response.status
            await attempt.relay(response)
            return Answered(response.status)

    def _check_response(
        self,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        *,
        is_reused: bool,
    ) -> NotRun | UnknownOutcome | None:
        address = attempt.server.address
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed == attempt.request.request_id:
            self._echoing_addresses.add(address)
        elif echoed is not None or is_reused:
            self._echoing_addresses.discard(address)
            return UnknownOutcome(
                'answer-mismatched',
                _STATUS_BAD_GATEWAY,
                'the backend server answered another request',
            )
        if _is_overload(response):
            return NotRun(
                'server-overloaded',
                _STATUS_UNAVAILABLE,
                'the backend server had no room and did not run the request',
                _OVERLOAD_RETRY_S,
            )
        if _is_unframed(response):
            return UnknownOutcome(
                'answer-unframed',
                _STATUS_BAD_GATEWAY,
                'the end of the backend server answer cannot be proved',
            )
        return None


def _classify_error(error: Exception) -> NotRun | UnknownOutcome:
    connecting = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    if isinstance(error, connecting):
        return NotRun(
            'server-unreachable',
            _STATUS_BAD_GATEWAY,
            'no connection to the backend server could be opened',
        )
    if isinstance(error, TimeoutError):
        return UnknownOutcome(
            'deadline-exceeded',
            _STATUS_GATEWAY_TIMEOUT,
            'no answer came before the deadline',
        )
    disconnected = (aiohttp.ClientConnectionError, ConnectionError)
    code = (
        'server-disconnected'
        if isinstance(error, disconnected)
        else 'bad-answer'
    )
    return UnknownOutcome(code, _STATUS_BAD_GATEWAY, type(error).__name__)


def _is_overload(response: aiohttp.ClientResponse) -> bool:
    marker = response.headers.get(OVERLOAD_HEADER, '').lower()
    return response.status == _STATUS_UNAVAILABLE and marker == OVERLOAD_NOT_RUN


def _is_unframed(response: aiohttp.ClientResponse) -> bool:
    if response.method == 'HEAD' or response.status in _BODILESS_STATUSES:
        return False
    coding = response.headers.get('Transfer-Encoding', '').lower()
    return 'Content-Length' not in response.headers and 'chunked' not in coding


def _create_session(*, force_close: bool) -> aiohttp.ClientSession:
    connector = (
        aiohttp.TCPConnector(limit=0, force_close=True)
        if force_close
        else aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEEPALIVE_S)
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'User-Agent',
            'Accept',
            'Accept-Encoding',
            'Content-Type',
        ),
        read_bufsize=_CHUNK_BYTES,
        max_line_size=_MAX_HEADER_BYTES,
        max_field_size=_MAX_HEADER_BYTES,
    )
    # aiohttp would resend requests of some methods after a disconnect, which
    # bypasses the retry budget; the pinned version has no public setting.
    session._retry_connection = False  # noqa: SLF001
    return session
