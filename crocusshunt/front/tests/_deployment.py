"""A host with a store and backend servers, on the loopback address."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientResponse, ClientSession, web
from result import Ok

from crocusshunt.core import SystemClock
from crocusshunt.front import FrontService, FrontSettings
from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.standin import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    LOOPBACK,
    SERVERS_TABLE,
    CustomerDocument,
    MemoryFeedStore,
    describe_route,
    draw_free_ports,
    encode_configuration,
    encode_server,
)

NAMES = SOURCE_FORMAT.headers
KEY = 'key-of-court'
_CATCH_UP_S = 10
_POLL_S = 0.02

Behave = Callable[[web.Request], Awaitable[web.StreamResponse | None]]


@dataclass(slots=True)
class Backend:
    """A backend server that keeps what it received.

    :param behave: answers in place of the usual answer, if it returns one.
    """

    name: str
    address: str = ''
    received: list[web.Request] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    behave: Behave | None = None
    runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.runner = web.ServerRunner(web.Server(self._handle))
        await self.runner.setup()
        await web.TCPSite(self.runner, LOOPBACK, 0).start()
        host, port = self.runner.addresses[0]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the port."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _handle(self, request: Any) -> web.StreamResponse:
        self.received.append(request)
        self.bodies.append(await request.read())
        if self.behave is not None:
            answer = await self.behave(request)
            if answer is not None:
                return answer
        return sign(request, web.Response(text=self.name))


def sign(request: web.Request, response: web.Response) -> web.Response:
    """Add what marks an answer as the server's own."""
    response.headers[NAMES.request_id] = request.headers[NAMES.request_id]
    response.headers[NAMES.signature] = 'signed'
    return response


@dataclass(slots=True)
class Deployment:
    """One host, its store and its backend servers."""

    store: MemoryFeedStore
    service: FrontService
    session: ClientSession
    backends: list[Backend]
    _version: int = 0
    _requests: int = 0

    def configure(
        self,
        *routes: dict[str, Any],
        rate: float = 0,
        keys: tuple[str, ...] = (KEY,),
    ) -> None:
        """Put a newer configuration into the store."""
        self._version += 1
        customer = CustomerDocument('court', keys, rate, rate)
        content = encode_configuration(self._version, routes, (customer,))
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)

    def announce(self, backend: Backend, state: str = 'ready') -> None:
        """Write the entry of a backend server."""
        content = encode_server(backend.address, 'pool', 'a1', state)
        self.store.put(SERVERS_TABLE, backend.name, content)

    async def ask(
        self,
        path: str = '/a/x',
        method: str = 'GET',
        key: str | None = KEY,
        **headers: str,
    ) -> tuple[int, str, ClientResponse]:
        """Send a request; return status, body and response."""
        self._requests += 1
        sent = {
            'Host': 'a.example',
            NAMES.request_id: f'req-{self._requests}',
            NAMES.deadline_ms: '3000',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        if key is not None:
            sent['Authorization'] = f'Token {key}'
        url = f'http://{self.service.settings.front_address}{path}'
        async with self.session.request(method, url, headers=sent) as response:
            return response.status, await response.text(), response

    async def settle(self, seconds: float = 0) -> None:
        """Wait until the host knows the store's newest version.

        :param seconds: time to wait besides.
        """
        await asyncio.sleep(seconds)
        async with asyncio.timeout(_CATCH_UP_S):
            while not self._has_caught_up():
                await asyncio.sleep(_POLL_S)

    def _has_caught_up(self) -> bool:
        if self.store.faults.is_down or self.store.faults.is_silent:
            return True
        followers = self.service._parts.followers.all  # noqa: SLF001
        return all(
            one.image.version
            >= self.store.find_last_version(one.settings.table)
            for one in followers
        )


@asynccontextmanager
async def deploy(*names: str) -> AsyncIterator[Deployment]:
    """Run a host with backend servers of some names."""
    store = MemoryFeedStore()
    # The metrics take the port after the internal one.
    ports = draw_free_ports(5, random.Random())
    front, ready, directory, internal = ports[:4]
    settings = FrontSettings(
        name='h1',
        ip=LOOPBACK,
        region='a',
        failure_domain='a1',
        front_address=f'{LOOPBACK}:{front}',
        ready_address=f'{LOOPBACK}:{ready}',
        directory_address=f'{LOOPBACK}:{directory}',
        internal_port=internal,
        regions={'a1': 'a', 'b1': 'b'},
        store_address='',
    )
    service = FrontService(
        settings,
        SOURCE_FORMAT,
        store,
        lambda: Ok(settings),
        SystemClock(),
    )
    backends = [Backend(name) for name in names]
    async with ClientSession() as session:
        deployment = Deployment(store, service, session, backends)
        deployment.configure(describe_route())
        for backend in backends:
            await backend.start()
            deployment.announce(backend)
        await service.start()
        await deployment.settle()
        try:
            yield deployment
        finally:
            await service.stop()
            for backend in backends:
                await backend.stop()
