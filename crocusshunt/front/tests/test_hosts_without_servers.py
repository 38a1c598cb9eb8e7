"""A host that is cut off from all backend servers, and reaches other hosts."""

import asyncio
import json

import pytest

from crocusshunt.front.tests._cuts import CutKind, cut_from_servers
from crocusshunt.front.tests._deployment import Deployment, deploy
from crocusshunt.standin import describe_route

_SERVERS = ('s1', 's2', 's3', 's4')
_DOMAINS = ('a1', 'a1', 'b1')
# The users' bound: from so long after the cut began, requests are served two
# thirds as often as elsewhere, and at most 10 and one in 50 fail.
_SETTLING_S = 4
_REQUESTS = 100
_MAX_FAILED = 10 + _REQUESTS / 50
_SPACING_S = 0.03


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _configure(deployment: Deployment) -> None:
    deployment.configure(
        describe_route(),
        describe_route(prefix='/w/', kind='non_idempotent', max_attempts=1),
    )


async def _send_some(deployment: Deployment, host: int, count: int) -> int:
    """Send reads and writes to a host; return how many are served."""

    async def send(number: int) -> bool:
        await asyncio.sleep(number * _SPACING_S)
        path, method = (('/a/x', 'GET'), ('/w/x', 'POST'))[number % 2]
        sent = await deployment.send_to(host, f'{path}{number}', method)
        return sent[0] == 200

    return sum(await asyncio.gather(*map(send, range(count))))


def _list_addresses(deployment: Deployment) -> list[str]:
    return [backend.address for backend in deployment.backends]


async def _look_up(deployment: Deployment, host: int) -> list[str]:
    address = deployment.hosts[host].settings.directory_address
    query = 'name=a.example&region=a&zone=a1'
    url = f'http://{address}/resolve?{query}'
    async with deployment.session.get(url) as response:
        return list(json.loads(await response.text())['addresses'])


@pytest.mark.parametrize('kind', CutKind)
async def test_host_cut_off_from_servers_serves_callers(kind: CutKind) -> None:
    async with deploy(*_SERVERS, domains=_DOMAINS) as deployment:
        _configure(deployment)
        await deployment.wait_for_sync(2)
        await _send_some(deployment, 0, 20)
        addresses = _list_addresses(deployment)
        with cut_from_servers(deployment.hosts[0], addresses, kind):
            await _send_some(deployment, 0, round(_SETTLING_S / _SPACING_S))
            served = await _send_some(deployment, 0, _REQUESTS)
            assert _REQUESTS - served <= _MAX_FAILED
        await asyncio.sleep(1)
        assert await _send_some(deployment, 0, 20) == 20


async def test_whole_region_cut_off_from_servers_serves_callers() -> None:
    async with deploy(*_SERVERS, domains=_DOMAINS) as deployment:
        _configure(deployment)
        await deployment.wait_for_sync(2)
        addresses = _list_addresses(deployment)
        with (
            cut_from_servers(deployment.hosts[0], addresses, CutKind.refused),
            cut_from_servers(deployment.hosts[1], addresses, CutKind.refused),
        ):
            await _send_some(deployment, 0, round(_SETTLING_S / _SPACING_S))
            served = await _send_some(deployment, 0, _REQUESTS)
        assert _REQUESTS - served <= _MAX_FAILED


async def test_callers_are_not_sent_to_a_host_cut_off_from_servers() -> None:
    async with deploy(*_SERVERS, domains=_DOMAINS) as deployment:
        await deployment.wait_for_sync(2)
        cut, other, _far = deployment.hosts
        addresses = _list_addresses(deployment)
        with cut_from_servers(cut, addresses, CutKind.refused):
            await _send_some(deployment, 0, round(_SETTLING_S / _SPACING_S))
            for host in (0, 1):
                named = await _look_up(deployment, host)
                assert named == [other.settings.front_address]
        await _send_some(deployment, 0, round(2 / _SPACING_S))
        assert len(await _look_up(deployment, 1)) == 2
