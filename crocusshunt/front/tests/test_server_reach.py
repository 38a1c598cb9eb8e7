"""When a host takes itself for cut off from all servers."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import cast

import pytest_asyncio

from crocusshunt.core import SystemClock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.placement import (
    HealthSettings,
    HealthTracker,
    ServerEntry,
    ServerFailure,
    ServerRegistry,
)
from crocusshunt.services import TaskGroup
from crocusshunt.upstream import Connection, NotConnectedError

_SILENCE_S = 0.4
_CHECK_S = 0.5


@dataclass(slots=True)
class _Connections:
    """Opens connections to some addresses, and counts the attempts."""

    reachable: set[str] = field(default_factory=set)
    opened: list[str] = field(default_factory=list)

    async def open(self, address: str) -> Connection:
        """Refuse the connection unless the address is reachable."""
        self.opened.append(address)
        if address not in self.reachable:
            raise NotConnectedError('refused')
        return cast(Connection, object())

    def give_back(self, *_given: object) -> None:
        """Drop the connection."""


@dataclass(slots=True)
class _Cluster:
    servers: ServerRegistry
    health: HealthTracker = field(
        default_factory=lambda: HealthTracker(HealthSettings())
    )
    connections: _Connections = field(default_factory=_Connections)


@dataclass(slots=True)
class _Scene:
    cluster: _Cluster
    reach: ServerReach


@pytest_asyncio.fixture
async def scene() -> AsyncIterator[_Scene]:
    """Give three pools of four servers each, none of them reachable."""
    servers = ServerRegistry({'a1': 'a'})
    for pool in ('p', 'q', 'r'):
        for number in range(4):
            name = f'{pool}{number}'
            servers.put(ServerEntry(name, pool, name, 'a1', 4), now=0)
    cluster = _Cluster(servers)
    tasks = TaskGroup()
    yield _Scene(
        cluster,
        ServerReach(cast(ClusterState, cluster), tasks, SystemClock()),
    )
    await tasks.stop()


async def test_failures_beside_answers_are_no_cut(scene: _Scene) -> None:
    """A pool fails all its requests, another one answers: thirty a second."""
    for _ in range(30):
        scene.reach.note_failure()
        scene.reach.note_answer()
        await asyncio.sleep(0.03)
    assert not scene.reach.is_cut_off
    assert not scene.cluster.connections.opened


async def test_silence_is_no_cut_if_a_server_takes_a_connection(
    scene: _Scene,
) -> None:
    scene.cluster.connections.reachable = {f'q{number}' for number in range(4)}
    scene.cluster.connections.reachable |= {f'r{number}' for number in range(4)}
    for _ in range(20):
        scene.reach.note_failure()
        await asyncio.sleep(0.03)
    assert not scene.reach.is_cut_off


async def test_host_that_reaches_no_server_is_cut_off(scene: _Scene) -> None:
    scene.reach.note_answer()
    scene.reach.note_failure()
    await asyncio.sleep(_SILENCE_S / 2)
    assert not scene.reach.is_cut_off
    await asyncio.sleep(_SILENCE_S)
    assert scene.reach.is_cut_off
    assert scene.reach.lost_pools == ('p', 'q', 'r')


async def test_servers_are_used_at_once_after_the_cut(scene: _Scene) -> None:
    """They were ejected for the cut alone, and come back one by one."""
    health = scene.cluster.health
    scene.reach.note_failure()
    health.note_failure('p0', ServerFailure.unreachable, now=0)
    await asyncio.sleep(_SILENCE_S + 0.1)
    assert scene.reach.is_cut_off
    scene.cluster.connections.reachable = {
        f'{pool}{number}' for pool in 'pqr' for number in range(4)
    }
    await asyncio.sleep(_CHECK_S + 0.1)
    assert not scene.reach.is_cut_off
    assert not health.is_ejected('p0', now=0)
    assert not scene.reach.misses_servers('p')


async def test_pool_is_lost_if_each_of_its_servers_is(scene: _Scene) -> None:
    health = scene.cluster.health
    for number in range(4):
        assert scene.reach.lost_pools == ()
        health.note_failure(f'p{number}', ServerFailure.unreachable, now=0)
        assert scene.reach.misses_servers('p')
    assert scene.reach.lost_pools == ('p',)
    assert not scene.reach.misses_servers('q')


async def test_checks_do_not_grow_with_failures(scene: _Scene) -> None:
    """A thousand failures of a cut host cost one check at a time."""
    for _ in range(1000):
        scene.reach.note_failure()
    await asyncio.sleep(_CHECK_S + 0.2)
    assert len(scene.cluster.connections.opened) <= 3 * 4
