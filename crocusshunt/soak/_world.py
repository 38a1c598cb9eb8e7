"""The whole system of a soak: store, servers, hosts, callers."""

import asyncio
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import ClientError, ClientSession, web

from crocusshunt.soak._plan import SoakSettings
from crocusshunt.soak._processes import PORTS_PER_HOST, HostProcess
from crocusshunt.soak._proxy import Proxy
from crocusshunt.soak._records import (
    Change,
    ChangeKind,
    Disturbance,
    Records,
)
from crocusshunt.soak._servers import SoakServer
from crocusshunt.standin import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    LOOPBACK,
    SERVERS_TABLE,
    CustomerDocument,
    FeedStoreApplication,
    HostDocument,
    MemoryFeedStore,
    describe_route,
    draw_free_ports,
    encode_configuration,
    encode_server,
)

LIMITED = 'bank'
LIMITED_RATE = 8
_DOMAINS = ('a1', 'a2', 'b1')
_READY_WITHIN_S = 60
_POLL_S = 0.1
_STATUS_OK = 200
_MILLISECONDS = 1000
# Hosts know new servers within this, before routes move to them.
_SPREAD_S = 1.5


@dataclass(slots=True)
class World:
    """Everything that a soak starts."""

    settings: SoakSettings
    draw: random.Random
    records: Records = field(default_factory=Records)
    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    hosts: list[HostProcess] = field(default_factory=list)
    servers: list[SoakServer] = field(default_factory=list)
    store_proxies: dict[str, Proxy] = field(default_factory=dict)
    keys: list[str] = field(default_factory=list)
    pool: str = 'pool-0'
    _moving: asyncio.Lock = field(default_factory=asyncio.Lock)
    _version: int = 0
    _started: int = 0
    _store_runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start store, servers and hosts; wait until all hosts are ready."""
        store_address = await self._start_store()
        self.keys = [f'secret-key-{number}' for number in range(6)]
        self.records.keys = {key: 'court' for key in self.keys[:-1]}
        self.records.keys[self.keys[-1]] = LIMITED
        self.configure()
        await self.add_servers(self.pool)
        for number in range(self.settings.hosts):
            await self._start_host(number, store_address)
        await await_ready(self.hosts)

    async def stop(self) -> None:
        """End every process that was started, and close all ports."""
        for host in self.hosts:
            host.close()
        for proxy in self.store_proxies.values():
            await proxy.stop()
        for server in self.servers:
            await server.stop()
        if self._store_runner is not None:
            await self._store_runner.cleanup()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        routes = [
            describe_route(prefix='/read/', service=self.pool),
            describe_route(
                prefix='/write/',
                service=self.pool,
                kind='non_idempotent',
                max_attempts=1,
            ),
        ]
        customers = [
            CustomerDocument('court', tuple(self.keys[:-1])),
            CustomerDocument(
                LIMITED,
                tuple(self.keys[-1:]),
                LIMITED_RATE,
                LIMITED_RATE,
            ),
        ]
        content = encode_configuration(self._version, routes, customers)
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)

    def withdraw_key(self) -> None:
        """Take a key away, as long as some are left."""
        if len(self.keys) > 3:
            self._note_change(ChangeKind.withdrawn_key, self.keys.pop(0))
            self.configure()

    async def move_routes(self) -> None:
        """Let all routes go to a new pool with servers of its own."""
        async with self._moving:
            old = self.pool
            pool = f'pool-{self._started}'
            await self.add_servers(pool)
            await asyncio.sleep(_SPREAD_S)
            self.pool = pool
            self.configure()
            self._note_change(ChangeKind.moved_route, old)

    async def add_servers(self, pool: str) -> None:
        """Start the servers of a pool."""
        wanted = self._started + self.settings.servers
        while self._started < wanted:
            await self.add_server(pool)

    async def add_server(self, pool: str) -> None:
        """Start a backend server and write its entry."""
        self._started += 1
        domain = _DOMAINS[self._started % len(_DOMAINS)]
        server = SoakServer(
            name=f's{self._started}',
            pool=pool,
            failure_domain=domain,
            runs=self.records.runs,
            keys=frozenset(self.keys),
            draw=self.draw,
        )
        await server.start()
        self.servers.append(server)
        self._announce(server, 'ready')

    async def drain_server(self, server: SoakServer, seconds: float) -> None:
        """Let a server leave gracefully, and add one in its place."""
        await self.add_server(server.pool)
        self._announce(server, 'draining')
        self._note_change(ChangeKind.draining_server, server.name)
        await asyncio.sleep(seconds + 3)
        self.store.remove(SERVERS_TABLE, server.name)

    def disturb(
        self,
        kind: str,
        host: str,
        for_s: float,
        *,
        is_planned: bool = False,
    ) -> None:
        """Note a fault that begins now."""
        now = time.monotonic()
        self.records.disturbances.append(
            Disturbance(kind, host, now, now + for_s, is_planned),
        )

    def pick_server(self, place: float) -> SoakServer:
        """Return one of the present pool's servers."""
        present = [one for one in self.servers if one.pool == self.pool]
        return present[int(place * len(present))]

    def _announce(self, server: SoakServer, state: str) -> None:
        content = encode_server(
            server.address,
            server.pool,
            server.failure_domain,
            state,
            round(time.time() * _MILLISECONDS),
        )
        self.store.put(SERVERS_TABLE, server.name, content)

    def _note_change(self, kind: ChangeKind, subject: str) -> None:
        change = Change(kind, subject, time.monotonic())
        self.records.changes.append(change)

    async def _start_store(self) -> str:
        application = FeedStoreApplication(self.store).create()
        self._store_runner = web.AppRunner(application, shutdown_timeout=0)
        await self._store_runner.setup()
        await web.TCPSite(self._store_runner, LOOPBACK, 0).start()
        host, port = self._store_runner.addresses[0]
        return f'{host}:{port}'

    async def _start_host(self, number: int, store_address: str) -> None:
        name = f'h{number}'
        proxy = Proxy(store_address)
        await proxy.start()
        self.store_proxies[name] = proxy
        document = HostDocument(
            name=name,
            failure_domain=_DOMAINS[number % len(_DOMAINS)],
            first_port=draw_free_ports(PORTS_PER_HOST, self.draw)[0],
            store=proxy.address,
        )
        host = HostProcess(document, Path(self.settings.workdir))
        self.hosts.append(host)
        host.start()


async def await_ready(hosts: Iterable[HostProcess]) -> None:
    """Wait until all hosts take requests."""
    async with asyncio.timeout(_READY_WITHIN_S), ClientSession() as session:
        for host in hosts:
            while not await _is_ready(session, host):
                await asyncio.sleep(_POLL_S)


async def _is_ready(session: ClientSession, host: HostProcess) -> bool:
    try:
        async with session.get(
            f'http://{host.document.ready}/ready'
        ) as response:
            return response.status == _STATUS_OK
    except (ClientError, OSError):
        return False
