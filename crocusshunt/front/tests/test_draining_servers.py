"""Backend servers that say in their responses that they are draining."""

import asyncio

import pytest
from aiohttp import web

from crocusshunt.core import ManualClock
from crocusshunt.front.tests._backend import Backend, sign
from crocusshunt.front.tests._deployment import (
    Deployment,
    deploy,
    send_while_connecting,
)
from crocusshunt.front.tests._region import Region
from crocusshunt.standin import SERVERS_TABLE, encode_server

_DRAINING_HEADER = 'Server-Leaving'
_REQUESTS = 30
_NEW_START_MS = 2
_HEARTBEATS_S = 3


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _drain(backend: Backend) -> None:
    async def respond(request: web.Request) -> web.StreamResponse:
        response = sign(request, web.Response(text=backend.name))
        response.headers[_DRAINING_HEADER] = '1'
        return response

    backend.override = respond


async def _send_many(deployment: Deployment, host: int = 0) -> set[str]:
    """Return the names of the servers that answered."""
    return {
        (await deployment.send_to(host, f'/a/{number}'))[1]
        for number in range(_REQUESTS)
    }


async def test_draining_server_gets_nothing_more() -> None:
    """Its entry says that it is ready, and is written again."""
    async with deploy('s1', 's2') as deployment:
        draining = deployment.backends[0]
        _drain(draining)
        await _send_many(deployment)
        assert len(draining.received) == 1
        deployment.announce(draining)
        await deployment.wait_for_sync(0.1)
        assert await _send_many(deployment) == {'s2'}


async def test_old_entry_that_returns_does_not_bring_a_server_back() -> None:
    """The store removed the entry in an outage; a new start takes work."""
    async with deploy('s1', 's2') as deployment:
        draining = deployment.backends[0]
        _drain(draining)
        await _send_many(deployment)
        deployment.store.remove(SERVERS_TABLE, draining.name)
        await deployment.wait_for_sync(0.1)
        deployment.announce(draining)
        await deployment.wait_for_sync(0.1)
        assert await _send_many(deployment) == {'s2'}
        draining.override = None
        content = encode_server(
            draining.address, 'pool', 'a1', 'ready', _NEW_START_MS
        )
        deployment.store.put(SERVERS_TABLE, draining.name, content)
        await deployment.wait_for_sync(0.1)
        assert await _send_many(deployment) == {'s1', 's2'}


async def test_request_chosen_for_a_draining_server_is_not_sent() -> None:
    """The server says so while connections to it are being opened."""
    async with deploy('s1', 's2') as deployment:
        backend = deployment.backends[0]
        _drain(backend)
        statuses = await send_while_connecting(deployment, backend)
        assert set(statuses) == {200}
        assert len(backend.received) == 1


async def test_hosts_start_beside_a_pool_whose_servers_all_drain() -> None:
    """Each plan failed until the other hosts' load was heard, and so forever.

    No host was ready, none sent a heartbeat, and so none heard of another.
    """
    async with deploy('s1', domains=('a1', 'b1')) as deployment:
        await deployment.stop_hosts()
        entry = encode_server('127.0.0.1:9', 'old', 'a1', 'draining')
        deployment.store.put(SERVERS_TABLE, 'd1', entry)
        await deployment.start_hosts()
        await asyncio.sleep(_HEARTBEATS_S)
        for host in deployment.hosts:
            assert host._components.readiness.is_ready
            assert host._components.heartbeat_loop._sequence > 1


def test_other_hosts_and_those_that_start_later_hear_of_it() -> None:
    region = Region(names=('a1', 'a2', 'b1', 'b2'))
    for name in region.names[:-1]:
        region.start(name)
    for host in region.hosts.values():
        host.run_once()
    told = region.hosts['a2'].cluster
    server = told.servers.find('s0')
    assert server is not None
    told.servers.mark_draining('s0', server.entry.started_ms, 0)
    assert isinstance(region.clock, ManualClock)
    for _ in range(2):
        region.clock.advance(1)
        for host in region.hosts.values():
            host.run_once()
    region.start('b2')
    for host in region.hosts.values():
        names = [one.entry.name for one in host.cluster.servers.select('p')]
        assert names == ['s1', 's2', 's3']
