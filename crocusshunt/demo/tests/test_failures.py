"""Golden files of sessions in which a part of the fleet fails."""

import aiohttp
import pytest
from syrupy.assertion import SnapshotAssertion

from crocusshunt.demo import Fleet
from crocusshunt.demo.tests.callers import Callers
from crocusshunt.demo.tests.terminal import Terminal
from crocusshunt.routing import Customer, Route, Server
from crocusshunt.standin import BackendSwitches

_RECOVERY_S = 15
_POISON = 'bomb'
_ABAY = pytest.mark.parametrize('fleet', ['abay'], indirect=True)
_TROSARINA = pytest.mark.parametrize('fleet', ['trosarina'], indirect=True)


async def _post(fleet: Fleet, position: int, body: str) -> str:
    route = next(
        row for row in fleet.tables.select(Route) if not row.idempotent
    )
    customer = fleet.tables.select(Customer)[0].name
    base = fleet.hosts[position].gateway.url
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f'{base}{route.path_prefix}/1',
            headers={'X-Api-Key': fleet.keys[customer]},
            data=body,
        ) as response,
    ):
        if response.status == 200:
            return 'answered'
        problem = await response.json()
        return f'{problem["status"]} {problem["title"]}, {problem["outcome"]}'


async def _stop_region(fleet: Fleet, region: str) -> None:
    hosts = [host for host in fleet.hosts if host.identity.region == region]
    for host in hosts:
        fleet.hosts.remove(host)
        await host.locator.stop()
        await host.gateway.stop()
        await host.controller.stop()
    names = _list_servers(fleet, region)
    lost = [backend for backend in fleet.backends if backend.name in names]
    for backend in lost:
        fleet.backends.remove(backend)
        await backend.stop()


def _list_servers(fleet: Fleet, region: str) -> set[str]:
    servers = fleet.tables.select(Server)
    return {server.name for server in servers if server.region == region}


@_TROSARINA
async def test_poison_request(
    fleet: Fleet,
    callers: Callers,
    terminal: Terminal,
    snapshot: SnapshotAssertion,
) -> None:
    for backend in fleet.backends:
        backend.switches = BackendSwitches(poison=_POISON)
    for position, _host in enumerate(fleet.hosts):
        outcome = await _post(fleet, position, _POISON)
        terminal.record(f'the request through host {position}: {outcome}')
    # A restarted server may be chosen again, so only the total is bounded.
    crashes = sum(server.crashes for server in fleet.backends)
    terminal.record(f'crashes of backend servers: {crashes}')
    other = await _post(fleet, 0, 'harmless')
    terminal.record(f'another request of the customer: {other}')
    assert '\n'.join(terminal.lines) == snapshot


@_ABAY
async def test_region_lost(
    fleet: Fleet,
    callers: Callers,
    terminal: Terminal,
    snapshot: SnapshotAssertion,
) -> None:
    lost = 'dire'
    assert fleet.hosts[0].identity.region != lost
    await _stop_region(fleet, lost)
    terminal.record(f'{lost} lost, {len(fleet.hosts)} hosts left')
    terminal.record(await callers.call_until('answered', _RECOVERY_S))
    await terminal.run(f'edit customer {callers.customer} rate=80 --reason=up')
    terminal.record(f'callers: {await callers.call_all()}')
    assert '\n'.join(terminal.lines) == snapshot
