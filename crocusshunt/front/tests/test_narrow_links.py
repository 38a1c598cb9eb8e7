"""Configurations that take long on the link of a host."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from unittest.mock import Mock

import msgspec
from aiohttp import web

from crocusshunt.core import SystemClock
from crocusshunt.fleet import HostRecord
from crocusshunt.front._followers import Followers
from crocusshunt.front._settings import TableNames
from crocusshunt.platform import RowStoreClient
from crocusshunt.services import TaskGroup
from crocusshunt.soak._link_rates import LinkRate
from crocusshunt.soak._proxy import Proxy
from crocusshunt.standin import FeedStoreApplication, MemoryFeedStore

_TABLES = TableNames('op', 'servers', 'hosts', 'crashes')
_KEY = 'config'
# A change is to be in force this long after the store acknowledged it.
_APPLIED_S = 2.5
_CHECK_S = 0.2
# A copy of the configuration is waited for longer.
_COPY_S = 0.4
_ROUTES = 1_400
# Bytes a second of a link of 10 Mbit/s.
_NARROW_BYTES_PER_S = 1_250_000


def _write_routes(count: int, version: int) -> bytes:
    """Return text of about 300 bytes a route, most of it words that recur."""
    draws = random.Random(version)
    routes = (
        '{"resource_kind":"routes",'
        f'"metadata":{{"name":"r-{draws.random()}"}},'
        f'"spec":{{"host":"{draws.random()}.example","path":"/{version}/",'
        '"service":"catalogue","kind":"idempotent","max_attempts":2,'
        '"timeout_s":1.2,"target_latency_s":0.6,"priority":2,"public":true,'
        '"sticky":false,"home_regions":["kzn","westcape","gauteng"]}}'
        for _number in range(count)
    )
    return ','.join(routes).encode()


@dataclass(slots=True)
class _Host:
    """A host's followers, behind a link of their own."""

    name: str
    link: LinkRate
    client: RowStoreClient
    proxies: list[Proxy]
    followers: Followers
    record: HostRecord
    peers: dict[str, HostRecord] = field(default_factory=dict)

    @property
    def version(self) -> int:
        return self.followers.configuration.image.version

    async def reach(self, peer: '_Host') -> None:
        """Have the copies of a peer come by this host's link."""
        record = peer.record
        proxy = Proxy(f'{record.ip}:{record.internal_port}', rate=self.link)
        await proxy.start()
        self.proxies.append(proxy)
        port = int(proxy.address.split(':')[1])
        self.peers[peer.name] = msgspec.structs.replace(
            record, internal_port=port
        )

    async def close(self) -> None:
        await self.followers.close()
        await self.client.close()
        for proxy in self.proxies:
            proxy.stop()

    def hear(self, peer: '_Host', tasks: TaskGroup) -> None:
        """Process what a heartbeat of a peer tells of its tables."""
        tasks.start(
            self.followers.fetch_if_behind(
                self.peers[peer.name], peer.followers.versions
            )
        )


@dataclass(slots=True)
class _Region:
    """Hosts of a region, of which the first watches the store."""

    store: MemoryFeedStore = field(default_factory=MemoryFeedStore)
    hosts: list[_Host] = field(default_factory=list)
    tasks: TaskGroup = field(default_factory=TaskGroup)
    runners: list[web.BaseRunner] = field(default_factory=list)

    async def add_host(self, store_address: str, rate: float) -> _Host:
        link = LinkRate(rate)
        store_proxy = Proxy(store_address, rate=link)
        await store_proxy.start()
        client = RowStoreClient(store_proxy.address)
        followers = Followers(client, _TABLES, Mock(), SystemClock())
        runner = web.ServerRunner(
            web.Server(followers.serve_image), shutdown_timeout=0.1
        )
        self.runners.append(runner)
        ip, port = (await _listen(runner)).split(':')
        name = f'a{len(self.hosts) + 1}'
        record = HostRecord(name, ip, int(port), '127.0.0.1:1', 'a1', 'a')
        host = _Host(name, link, client, [store_proxy], followers, record)
        for peer in self.hosts:
            await host.reach(peer)
            await peer.reach(host)
        self.hosts.append(host)
        followers.start(self.tasks)
        return host

    async def close(self) -> None:
        await self.tasks.stop()
        for runner in self.runners:
            await runner.cleanup()
        for host in self.hosts:
            await host.close()

    async def exchange(self) -> None:
        """Let hosts hear each other and look for lost calls, again and again.

        The first one tells new versions at once, the others each second.
        """
        while True:
            for host in self.hosts:
                host.followers.watch(is_watcher=host is self.hosts[0])
            for hearer, peer in itertools.permutations(self.hosts, 2):
                hearer.hear(peer, self.tasks)
            await asyncio.sleep(_CHECK_S)

    async def follow(self, version: int, host: _Host) -> float:
        """Return the time until a host has a version, in seconds."""
        loop = asyncio.get_running_loop()
        acked_at = loop.time()
        while host.version < version and loop.time() - acked_at < _APPLIED_S:
            await asyncio.sleep(0.01)
        return loop.time() - acked_at


async def _listen(runner: web.ServerRunner) -> str:
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    ip, port = runner.addresses[0]
    return f'{ip}:{port}'


@asynccontextmanager
async def _play(*rates: float) -> AsyncIterator[_Region]:
    """Start hosts with links that carry so many bytes a second."""
    region = _Region()
    region.store.put('op', _KEY, b'{}')
    application = web.AppRunner(
        FeedStoreApplication(region.store).create(), shutdown_timeout=0.1
    )
    region.runners.append(application)
    await application.setup()
    site = web.TCPSite(application, '127.0.0.1', 0)
    await site.start()
    ip, port = application.addresses[0]
    for rate in rates:
        await region.add_host(f'{ip}:{port}', rate)
    region.tasks.keep('exchange', region.exchange)
    for host in region.hosts:
        while host.version < 1:
            await asyncio.sleep(0.01)
    try:
        yield region
    finally:
        await region.close()


async def test_answer_that_takes_over_a_second_is_read_to_its_end() -> None:
    """What had come was thrown away, and the answer was read anew."""
    async with _play(_NARROW_BYTES_PER_S / 5) as region:
        host = region.hosts[0]
        region.store.put('op', _KEY, _write_routes(_ROUTES, 1))
        newest = region.store.version
        await region.follow(newest, host)
        await region.follow(newest, host)
        assert host.version == newest
        assert not host.followers.configuration.call.wasted_bytes


async def test_versions_in_quick_succession_come_in_force() -> None:
    """Each newer version had hosts drop the answer that was coming."""
    late = []
    async with _play(_NARROW_BYTES_PER_S) as region:
        checks = []
        for version in range(12):
            region.store.put('op', _KEY, _write_routes(_ROUTES, version))
            newest = region.store.version
            checks.append(
                asyncio.create_task(region.follow(newest, region.hosts[0]))
            )
            await asyncio.sleep(0.5)
        late = [
            one for one in await asyncio.gather(*checks) if one > _APPLIED_S
        ]
    assert not late


async def test_host_takes_a_peers_copy_instead_of_a_large_answer() -> None:
    """All hosts of a region read each version from the store."""
    rates = (100 * _NARROW_BYTES_PER_S, _NARROW_BYTES_PER_S / 10)
    async with _play(*rates) as region:
        narrow = region.hosts[1]
        before = narrow.link.passed_bytes
        content = _write_routes(_ROUTES, 1)
        region.store.put('op', _KEY, content)
        took_s = await region.follow(region.store.version, narrow)
        passed = narrow.link.passed_bytes - before
    assert took_s < _APPLIED_S
    assert passed < len(content) / 2


async def test_copy_of_a_peer_is_taken_while_a_large_answer_comes() -> None:
    """Hosts read on for as long as their own answer took."""
    rates = (0.5 * _NARROW_BYTES_PER_S, 0.2 * _NARROW_BYTES_PER_S)
    async with _play(*rates) as region:
        watcher, narrow = region.hosts
        before = narrow.link.passed_bytes
        content = _write_routes(_ROUTES, 1)
        region.store.put('op', _KEY, content)
        took_s = await region.follow(region.store.version, narrow)
        passed = narrow.link.passed_bytes - before
    assert watcher.version >= 2
    assert took_s < _APPLIED_S
    assert passed < len(content)


async def test_entries_of_servers_do_not_wait_for_a_copy() -> None:
    """A request reached a server 3.1 s after its entry said that it leaves.

    Entries are written again all the time, so each answer of the store is
    large, and its rows are news that no copy brings sooner.
    """
    rates = (0.1 * _NARROW_BYTES_PER_S, 100 * _NARROW_BYTES_PER_S)
    async with _play(*rates) as region:
        servers = region.hosts[1].followers.servers
        await asyncio.sleep(_APPLIED_S)
        for number in range(400):
            region.store.put('servers', f's{number}', b'x' * 400)
        newest = region.store.version
        loop = asyncio.get_running_loop()
        until = loop.time() + _COPY_S
        while servers.image.version < newest and loop.time() < until:
            await asyncio.sleep(0.01)
        assert servers.image.version == newest
