"""Hosts with a store and backend servers, on the loopback address."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from aiohttp import ClientResponse, ClientSession, web
from result import Ok

from crocusshunt.core import SystemClock
from crocusshunt.front import FrontService, FrontSettings
from crocusshunt.front.tests._backend import NAMES, Backend
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
from crocusshunt.upstream import Connection

KEY = 'key-of-court'
_CATCH_UP_S = 10
_POLL_S = 0.02
_SLOW_OPEN_S = 0.6
_EARLIER_REQUEST_COUNT = 400
# For callers, readiness, look-ups, other hosts, and metrics, in this order.
_PORTS_PER_HOST = 5


@dataclass(slots=True)
class Deployment:
    """Hosts, their store and their backend servers.

    :param hosts: at least one.
    """

    store: MemoryFeedStore
    hosts: list[FrontService]
    session: ClientSession
    backends: list[Backend]
    _version: int = 0
    _requests: int = 0

    @property
    def service(self) -> FrontService:
        """Return the first host."""
        return self.hosts[0]

    def configure(
        self,
        *routes: dict[str, Any],
        rate: float = 0,
        keys: tuple[str, ...] = (KEY,),
    ) -> None:
        """Write a configuration with the next version into the store."""
        self._version += 1
        customer = CustomerDocument('court', keys, rate, rate)
        content = encode_configuration(self._version, routes, (customer,))
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)

    def announce(self, backend: Backend, state: str = 'ready') -> None:
        """Write the entry of a backend server into the store."""
        content = encode_server(backend.address, 'pool', 'a1', state)
        self.store.put(SERVERS_TABLE, backend.name, content)

    async def send(
        self,
        path: str = '/a/x',
        method: str = 'GET',
        key: str | None = KEY,
        **headers: str,
    ) -> tuple[int, str, ClientResponse]:
        """Send a request to the first host.

        :return: status, body and response.
        """
        return await self.send_to(0, path, method, key, **headers)

    async def send_to(
        self,
        host: int,
        /,
        path: str = '/a/x',
        method: str = 'GET',
        key: str | None = KEY,
        **headers: str,
    ) -> tuple[int, str, ClientResponse]:
        """Send a request to a host; return status, body and response.

        :param host: number of the host, from 0.
        """
        self._requests += 1
        sent = {
            'Host': 'a.example',
            NAMES.request_id: f'req-{self._requests}',
            NAMES.deadline_ms: '3000',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        if key is not None:
            sent['Authorization'] = f'Token {key}'
        url = f'http://{self.hosts[host].settings.front_address}{path}'
        async with self.session.request(method, url, headers=sent) as response:
            return response.status, await response.text(), response

    async def restart_hosts(self) -> None:
        """Stop all hosts, then start them at other ports."""
        await self.stop_hosts()
        await self.start_hosts()

    async def stop_hosts(self) -> None:
        """Stop all hosts; while the store is down, they write nothing."""
        await asyncio.gather(*(one.stop() for one in self.hosts))

    async def start_hosts(self) -> None:
        """Start all hosts, which were stopped, at other ports."""
        domains = [one.settings.failure_domain for one in self.hosts]
        self.hosts = _create_hosts(self.store, domains)
        for host in self.hosts:
            await host.start()

    async def wait_until_ready(self) -> None:
        """Wait until callers may be sent to all hosts."""
        async with asyncio.timeout(_CATCH_UP_S):
            while not all(map(_is_ready, self.hosts)):
                await asyncio.sleep(_POLL_S)

    async def wait_for_sync(self, seconds: float = 0) -> None:
        """Wait until all hosts have read the newest changes in the store.

        :param seconds: time to wait before that.
        """
        await asyncio.sleep(seconds)
        async with asyncio.timeout(_CATCH_UP_S):
            while not self._has_caught_up():
                await asyncio.sleep(_POLL_S)

    def _has_caught_up(self) -> bool:
        if self.store.faults.is_down or self.store.faults.is_silent:
            return True
        return all(
            one.image.version
            >= self.store.find_last_version(one.settings.table)
            for host in self.hosts
            for one in host._components.followers.all  # noqa: SLF001
        )


async def crowd_one_object(deployment: Deployment) -> list[ClientResponse]:
    """Send eight deferrable requests for one object to servers that hang.

    Its server has no room for all of them, while the others are idle.
    """

    async def hang(_request: web.Request) -> None:
        await asyncio.sleep(2)

    urgent = describe_route(prefix='/u/', priority=0)
    deferrable = describe_route(prefix='/a/', priority=1, kind='non_idempotent')
    deployment.configure(urgent, deferrable)
    await deployment.wait_for_sync()
    for backend in deployment.backends:
        backend.override = hang
    cookie = {'Cookie': f'{NAMES.affinity_cookie}=7'}
    responses = await asyncio.gather(
        *(deployment.send(method='POST', **cookie) for _ in range(8))
    )
    return [response for _status, _text, response in responses]


async def send_while_connecting(
    deployment: Deployment, backend: Backend
) -> list[int]:
    """Send requests of which only one is in time for a server.

    All connections of the first host to it but the first one open slowly.

    :return: the statuses of the responses.
    """
    components = deployment.service._components  # noqa: SLF001
    connections = components.cluster.connections
    open_at_once = connections.open
    delays_s = itertools.chain((0,), itertools.repeat(_SLOW_OPEN_S))

    async def open_slowly(address: str) -> Connection:
        if address == backend.address:
            await asyncio.sleep(next(delays_s))
        return await open_at_once(address)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connections, 'open', open_slowly)
        sending = [deployment.send(f'/a/{number}') for number in range(8)]
        return [one[0] for one in await asyncio.gather(*sending)]


@asynccontextmanager
async def deploy(
    *names: str, domains: tuple[str, ...] = ('a1',)
) -> AsyncIterator[Deployment]:
    """Run hosts with backend servers of the given names.

    :param domains: failure domain of each host.
    """
    store = MemoryFeedStore()
    hosts = _create_hosts(store, domains)
    backends = [Backend(name) for name in names]
    async with ClientSession() as session:
        deployment = Deployment(store, hosts, session, backends)
        deployment.configure(describe_route())
        for backend in backends:
            await backend.start()
            deployment.announce(backend)
        for started in hosts:
            await started.start()
        await deployment.wait_for_sync()
        for in_service in hosts:
            _count_earlier_requests(in_service)
        try:
            yield deployment
        finally:
            await asyncio.gather(*(one.stop() for one in deployment.hosts))
            for backend in backends:
                await backend.stop()
                backend.free_port()


def _count_earlier_requests(host: FrontService) -> None:
    """Let a host have taken requests, so that it may retry some."""
    heartbeat_loop = host._components.heartbeat_loop  # noqa: SLF001
    limiter = heartbeat_loop.tokens.limits.retries.limiter
    for _ in range(_EARLIER_REQUEST_COUNT):
        limiter.note_request('pool', heartbeat_loop.clock.monotonic() - 1)


def _create_hosts(
    store: MemoryFeedStore, domains: Sequence[str]
) -> list[FrontService]:
    # In one draw: those of two draws may be the same until a host listens.
    ports = draw_free_ports(_PORTS_PER_HOST * len(domains), random.Random())
    return [
        _create_host(
            f'h{number + 1}', domain, store, ports[number * _PORTS_PER_HOST :]
        )
        for number, domain in enumerate(domains)
    ]


def _create_host(
    name: str, domain: str, store: MemoryFeedStore, ports: list[int]
) -> FrontService:
    front, ready, directory, internal = ports[:4]
    settings = FrontSettings(
        name=name,
        ip=LOOPBACK,
        region=domain[0],
        failure_domain=domain,
        front_address=f'{LOOPBACK}:{front}',
        ready_address=f'{LOOPBACK}:{ready}',
        directory_address=f'{LOOPBACK}:{directory}',
        internal_port=internal,
        regions={'a1': 'a', 'b1': 'b'},
        store_address='',
        is_first_start=True,
    )
    return FrontService(
        settings,
        SOURCE_FORMAT,
        store,
        lambda: Ok(settings),
        SystemClock(),
    )


def _is_ready(host: FrontService) -> bool:
    return host._components.readiness.is_ready  # noqa: SLF001
