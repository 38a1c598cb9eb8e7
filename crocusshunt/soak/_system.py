"""The system under test of a soak test: store, backend servers and hosts."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from aiohttp import web

from crocusshunt.feeds import Row
from crocusshunt.soak._added_routes import AddedRoutes
from crocusshunt.soak._links import ServerLinks
from crocusshunt.soak._load import CallMix
from crocusshunt.soak._peer_links import PeerLinks
from crocusshunt.soak._plan import SoakSettings
from crocusshunt.soak._processes import PORTS_PER_HOST, HostProcess
from crocusshunt.soak._proxy import Proxy
from crocusshunt.soak._readiness import wait_until_ready
from crocusshunt.soak._records import (
    Change,
    ChangeKind,
    FaultInterval,
    Records,
)
from crocusshunt.soak._retry_checks import RETRY_EXTRA_COUNT
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

LIMITED_CUSTOMER = 'bank'
LIMITED_RATE = 8
_FAILURE_DOMAINS = ('a1', 'a2', 'b1')
_MILLISECONDS = 1000
# Time in which hosts learn of new servers, before routes move to them.
DISCOVERY_S = 1.5


@dataclass(slots=True)
class SoakSystem:
    """Store, backend servers and hosts of a soak test, and their proxies.

    :param store_proxies: proxy between each host and the store, by the name
        of the host.
    :param keys: API keys in force; the last one is that of the limited
        customer.
    :param pool: pool that the routes lead to.
    :param added: routes beside those of the usual calls.
    :param series_lock: held by a series of configurations.
    :param release_lock: held by a series of releases.
    """

    settings: SoakSettings
    rng: random.Random
    records: Records = field(default_factory=Records)
    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    hosts: list[HostProcess] = field(default_factory=list)
    servers: list[SoakServer] = field(default_factory=list)
    store_proxies: dict[str, Proxy] = field(default_factory=dict)
    keys: list[str] = field(default_factory=list)
    pool: str = 'pool-0'
    mix: CallMix = field(default_factory=CallMix)
    links: ServerLinks = field(default_factory=ServerLinks)
    peer_links: PeerLinks = field(default_factory=PeerLinks)
    added: AddedRoutes = field(default_factory=AddedRoutes)
    series_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    release_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _move_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _version: int = 0
    _started_servers: int = 0
    _store_runners: list[web.AppRunner] = field(default_factory=list)

    async def start(self) -> None:
        """Start store, servers and hosts; wait until all hosts are ready."""
        self.keys = [f'secret-key-{number}' for number in range(6)]
        self.records.customers_by_key = {key: 'court' for key in self.keys[:-1]}
        self.records.customers_by_key[self.keys[-1]] = LIMITED_CUSTOMER
        self.mix.key = self.keys[-1]
        self.write_configuration()
        await self.add_servers(self.pool)
        # Drawn together: a host's ports are free until its process opens them.
        count = PORTS_PER_HOST * self.settings.hosts
        # Not by the seed: another play of it may run on this machine.
        ports = draw_free_ports(count, random.Random())
        for number in range(self.settings.hosts):
            first_port = ports[number * PORTS_PER_HOST]
            await self._start_host(_name_host(number), number, first_port)
        await wait_until_ready(self.hosts)

    async def stop(self) -> None:
        """End all processes that were started, and close all ports."""
        for host in self.hosts:
            host.close()
            self.records.own_ends.extend(host.own_ends)
            self.records.program_errors.extend(host.read_errors())
        for proxy in self.store_proxies.values():
            proxy.stop()
        for server in self.servers:
            await server.stop()
        self.links.stop()
        self.peer_links.stop()
        for runner in self._store_runners:
            await runner.cleanup()

    def write_configuration(self) -> None:
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
            *self.added.describe(self.pool),
        ]
        customers = [
            CustomerDocument('court', tuple(self.keys[:-1])),
            CustomerDocument(
                LIMITED_CUSTOMER,
                tuple(self.keys[-1:]),
                LIMITED_RATE,
                LIMITED_RATE,
            ),
        ]
        content = encode_configuration(self._version, routes, customers)
        self.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)

    def withdraw_key(self) -> None:
        """Withdraw a key, as long as more than three are in force."""
        if len(self.keys) > 3:
            self._record_change(ChangeKind.withdrawn_key, self.keys.pop(0))
            self.write_configuration()

    async def move_routes(self) -> None:
        """Move all routes to a new pool with its own servers."""
        async with self._move_lock:
            old_pool = self.pool
            pool = f'pool-{self._started_servers}'
            await self.add_servers(pool)
            await asyncio.sleep(DISCOVERY_S)
            self.pool = pool
            self.write_configuration()
            self._record_change(ChangeKind.moved_route, old_pool)

    async def add_servers(self, pool: str) -> None:
        """Start the servers of a pool."""
        total = self._started_servers + self.settings.servers
        while self._started_servers < total:
            await self.add_server(pool)

    async def add_server(self, pool: str) -> None:
        """Start a backend server and write its entry."""
        self._started_servers += 1
        failure_domain = _FAILURE_DOMAINS[
            self._started_servers % len(_FAILURE_DOMAINS)
        ]
        server = SoakServer(
            name=f's{self._started_servers}',
            pool=pool,
            failure_domain=failure_domain,
            runs=self.records.runs,
            arrivals=self.records.arrivals,
            notices=self.records.notices,
            keys=frozenset(self.keys),
            rng=self.rng,
            announce=self._write_server_entry,
            links=self.links,
        )
        await server.start()
        for number in range(self.settings.hosts):
            await self.links.add(
                _name_host(number), server.name, server.address
            )
        self.servers.append(server)
        self._write_server_entry(server, 'ready')

    async def drain_server(self, server: SoakServer, seconds: float) -> None:
        """Drain a server and replace it by a new one.

        :param seconds: the server's entry is removed three seconds after
            this time.
        """
        await self.add_server(server.pool)
        self._write_server_entry(server, 'draining')
        self._record_change(ChangeKind.draining_server, server.name)
        await asyncio.sleep(seconds + 3)
        server.leave()

    def record_fault(
        self,
        kind: str,
        host: str,
        duration_s: float,
        *,
        is_planned: bool = False,
    ) -> None:
        """Record a fault that begins now.

        :param host: the affected host, empty for all.
        """
        now = time.monotonic()
        self.records.fault_intervals.append(
            FaultInterval(kind, host, now, now + duration_s, is_planned),
        )

    def pick_server(self, place: float) -> SoakServer:
        """Return a server of the pool in use.

        :param place: fraction of the list of servers, in [0, 1).
        """
        servers = [
            server
            for server in self.servers
            if server.pool == self.pool and server.state
        ]
        return servers[int(place * len(servers))]

    def _write_server_entry(self, server: SoakServer, state: str) -> None:
        server.state = state
        if not state:
            self.store.remove(SERVERS_TABLE, server.name)
            return
        content = encode_server(
            server.address,
            server.pool,
            server.failure_domain,
            state,
            round(time.time() * _MILLISECONDS),
        )
        self.store.put(SERVERS_TABLE, server.name, content)

    def _record_change(self, kind: ChangeKind, subject: str) -> None:
        change = Change(kind, subject, time.monotonic())
        self.records.changes.append(change)

    async def _start_store(self, reader: str) -> str:
        """Serve the store to a host; return the address."""
        translate = partial(_translate, self, reader)
        application = FeedStoreApplication(self.store, translate).create()
        runner = web.AppRunner(application, shutdown_timeout=0)
        self._store_runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, 0).start()
        host, port = runner.addresses[0]
        return f'{host}:{port}'

    async def _start_host(
        self, name: str, number: int, first_port: int
    ) -> None:
        proxy = Proxy(await self._start_store(name))
        await proxy.start()
        self.store_proxies[name] = proxy
        document = HostDocument(
            name=name,
            failure_domain=_FAILURE_DOMAINS[number % len(_FAILURE_DOMAINS)],
            first_port=first_port,
            store=proxy.address,
            retry_extra=RETRY_EXTRA_COUNT,
        )
        await self.peer_links.add(name, document.internal_ports[0])
        host = HostProcess(document, Path(self.settings.workdir))
        self.hosts.append(host)
        host.start()


def _translate(system: SoakSystem, reader: str, row: Row) -> Row:
    """Return a row with the addresses by which a host reaches others."""
    return system.peer_links.translate(
        reader, system.links.translate(reader, row)
    )


def _name_host(number: int) -> str:
    return f'h{number}'
