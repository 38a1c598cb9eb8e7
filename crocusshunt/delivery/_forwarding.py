"""One attempt at a backend server, streamed both ways."""

from collections.abc import AsyncIterator, Callable, Awaitable
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from crocusshunt.delivery._outcomes import (
    Answered,
    NotRun,
    Outcome,
    UnknownOutcome,
)
from crocusshunt.routing import Server

_CHUNK_BYTES = 65_536
_STATUS_BAD_GATEWAY = 502
_STATUS_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request as the backend server will see it.

    :param target: path and query, as sent on the wire.
    :param body: chunks of the body, None without one.
    :param timeout_s: what remains of the request's deadline, in seconds.
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: AsyncIterator[bytes] | bytes | None
    timeout_s: float
    idempotent: bool


Relay = Callable[[aiohttp.ClientResponse], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try at one server.

    :param relay: passes the answer on to the caller.
    """

    server: Server
    request: ForwardRequest
    relay: Relay


class Forwarder:
    """Sends attempts; owns the connections to backend servers.

    Requests that are not idempotent go over connections that are used once:
    on a reused one, the client library would send some methods again after
    a disconnect.
    """

    def __init__(self) -> None:
        """Prepare; connections open on first use."""
        self._shared: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the client sessions."""
        self._shared = _create_session(force_close=False)
        self._single = _create_session(force_close=True)

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._shared, self._single):
            if session is not None:
                await session.close()

    async def send(self, attempt: Attempt) -> Outcome:
        """Send a request and relay its answer.

        :raises aiohttp.ClientPayloadError: the answer broke off after its
            start reached the caller.
        """
        request = attempt.request
        session = self._shared if request.idempotent else self._single
        assert session is not None  # noqa: S101
        try:
            return await _exchange(session, attempt)
        except aiohttp.ClientConnectorError:
            return NotRun(
                'server-unreachable',
                _STATUS_BAD_GATEWAY,
                'the backend server refused the connection',
            )
        except TimeoutError:
            return UnknownOutcome(
                'deadline-exceeded',
                _STATUS_GATEWAY_TIMEOUT,
                'no answer came before the deadline',
            )
        except aiohttp.ClientError as error:
            if isinstance(error, aiohttp.ClientPayloadError):
                raise
            return UnknownOutcome(
                'server-disconnected',
                _STATUS_BAD_GATEWAY,
                type(error).__name__,
            )


async def _exchange(
    session: aiohttp.ClientSession, attempt: Attempt
) -> Outcome:
    request = attempt.request
    url = URL(f'http://{attempt.server.address}{request.target}', encoded=True)
    async with session.request(
        request.method,
        url,
        headers=request.headers,
        data=request.body,
        timeout=aiohttp.ClientTimeout(total=request.timeout_s),
        allow_redirects=False,
    ) as response:
        await attempt.relay(response)
        return Answered(response.status)


def _create_session(*, force_close: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        read_bufsize=_CHUNK_BYTES,
    )
