"""What a host tells of why it is not ready."""

import asyncio
from dataclasses import dataclass
from typing import Any, cast
from unittest.mock import patch

import pytest
from aiohttp import ClientSession

from crocusshunt.core import ManualClock
from crocusshunt.fleet import FleetSettings, FleetView, Heartbeat, HostRecord
from crocusshunt.front._heard_hosts import HeardHosts
from crocusshunt.front._obstacles import Condition, Obstacle
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._readiness_watch import ReadinessWatch
from crocusshunt.front.tests._deployment import Deployment, deploy

_STORE_TABLES = [
    ('configuration-missing', ''),
    ('table-not-read', 'servers'),
    ('table-not-read', 'hosts'),
    ('crash-records-not-read', ''),
]


@dataclass(slots=True)
class _ChangingReadiness:
    obstacles: tuple[Obstacle, ...] = ()

    def list_obstacles(self) -> tuple[Obstacle, ...]:
        return self.obstacles


async def _ask(deployment: Deployment) -> tuple[int, list[dict[str, Any]]]:
    address = deployment.service.settings.ready_address
    async with (
        ClientSession() as session,
        session.get(f'http://{address}/ready') as response,
    ):
        if response.status == 200:
            return response.status, []
        return response.status, (await response.json())['obstacles']


async def _read_metrics(deployment: Deployment) -> list[str]:
    settings = deployment.service.settings
    address = f'{settings.ip}:{settings.internal_port + 1}'
    async with (
        ClientSession() as session,
        session.get(f'http://{address}/metrics') as response,
    ):
        return (await response.text()).splitlines()


async def test_host_without_a_store_tells_all_that_it_lacks() -> None:
    async with deploy('s1') as deployment:
        deployment.store.faults.is_down = True
        await deployment.restart_hosts()
        await asyncio.sleep(0.3)
        status, obstacles = await _ask(deployment)
        lines = await _read_metrics(deployment)
        deployment.store.faults.is_down = False
        await deployment.wait_until_ready()
        assert await _ask(deployment) == (200, [])
        assert 'crocus_ready 1.0' in await _read_metrics(deployment)
    assert status == 503
    found = [(one['condition'], one['subject']) for one in obstacles]
    assert found == _STORE_TABLES
    assert all('down' in one['cause'] for one in obstacles)
    assert all(0 < one['age_s'] < 5 for one in obstacles)
    assert 'crocus_ready 0.0' in lines
    assert any(
        line.startswith(
            'crocus_not_ready_seconds{condition="table-not-read",'
            'subject="hosts"}'
        )
        for line in lines
    )


async def test_unusable_configuration_is_told_with_its_error() -> None:
    async with deploy('s1') as deployment:
        deployment.store.put('op', 'config', b'{"version": 7}')
        await deployment.restart_hosts()
        await deployment.wait_for_sync()
        status, obstacles = await _ask(deployment)
    assert status == 503
    assert obstacles[0]['condition'] == 'configuration-missing'
    assert '$.version' in obstacles[0]['cause']


async def test_failing_task_is_told_with_its_error() -> None:
    async with deploy('s1') as deployment:
        await deployment.wait_until_ready()
        loop = deployment.service._components.heartbeat_loop
        with patch.object(
            type(loop.planner), 'plan', side_effect=ArithmeticError('odd')
        ):
            async with asyncio.timeout(5):
                while (await _ask(deployment))[0] == 200:
                    await asyncio.sleep(0.05)
            _status, obstacles = await _ask(deployment)
            lines = await _read_metrics(deployment)
    assert len(obstacles) == 1
    obstacle = obstacles[0]
    assert obstacle['condition'] == 'task-failing'
    assert obstacle['subject'] == 'heartbeats'
    assert obstacle['cause'] == "ArithmeticError('odd')"
    assert any(
        'crocus_task_failures_total{task="heartbeats"}' in line
        for line in lines
    )


async def test_stopping_host_says_so() -> None:
    async with deploy('s1') as deployment:
        await deployment.wait_until_ready()
        in_flight = deployment.service._components.handler.in_flight
        in_flight.stop(10, 4)
        status, obstacles = await _ask(deployment)
    assert status == 503
    assert [one['condition'] for one in obstacles] == ['stopping']


def test_obstacles_that_last_are_logged_with_their_age() -> None:
    readiness = _ChangingReadiness()
    clock = ManualClock()
    watch = ReadinessWatch(cast(Readiness, readiness), clock)
    lines: list[dict[str, Any]] = []

    def note(event: str, *_level: int, **fields: Any) -> None:
        lines.append({'event': event, **fields})

    with patch('crocusshunt.front._readiness_watch.log_event', note):
        readiness.obstacles = (Obstacle(Condition.table, 'hosts', 'a'),)
        watch.log_changes()
        for _ in range(12):
            clock.advance(0.5)
            readiness.obstacles = (Obstacle(Condition.table, 'hosts', 'b'),)
            watch.log_changes()
        readiness.obstacles = ()
        watch.log_changes()
        watch.log_changes()
    assert [one['event'] for one in lines] == [
        'host not ready',
        'host not ready',
        'host ready',
    ]
    assert [one['cause'] for one in lines[:2]] == ['a', 'b']
    assert [one['age_s'] for one in lines[:2]] == [0, 5]
    assert lines[2]['after_s'] == 6


@pytest.mark.parametrize('was_ready', [True, False])
def test_start_of_another_process_of_a_host_is_counted(
    *, was_ready: bool
) -> None:
    own = HostRecord('h1', '10.0.0.1', 7600, '10.0.0.1:80', 'a1', 'a')
    other = HostRecord('h2', '10.0.0.2', 7600, '10.0.0.2:80', 'a1', 'a')
    fleet = FleetView(own, FleetSettings())
    fleet.put(other)
    heard = HeardHosts(fleet)
    for message in (
        Heartbeat('h2', 1000, 1, was_ready),
        Heartbeat('h2', 1000, 2, was_ready),
        Heartbeat('h2', 3000, 1, is_ready=False),
    ):
        heard.note_heartbeat(message)
        fleet.handle_message(message, 0)
    assert heard.restarts == {('h2', was_ready): 1}
