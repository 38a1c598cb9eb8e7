"""Hosts that start while the store answers no host."""

import asyncio
from dataclasses import replace

import pytest
from aiohttp import ClientError
from result import Ok

from crocusshunt.core import SystemClock
from crocusshunt.front import FrontService
from crocusshunt.front.tests._deployment import Deployment, deploy
from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.standin import describe_route

_TABLES = SOURCE_FORMAT.tables
_START_S = 10
_POLL_S = 0.05
_RATE = 20
_WINDOW_S = 5
_CALLS_PER_S = 60


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)
    # As the client of the store waits for an answer.
    monkeypatch.setattr('crocusshunt.standin._feeds._SILENCE_S', 1.5)


async def _end(host: FrontService) -> None:
    """Stop a host and close its ports, as the end of its process does."""
    await host.stop()
    for runner in host._servers.runners.values():
        await runner.cleanup()
    endpoint = host._components.heartbeat_loop.outbox.endpoint
    assert endpoint is not None
    endpoint.close()


async def _start_again(deployment: Deployment, number: int) -> FrontService:
    """Start another process of a host at the same ports."""
    old = deployment.hosts[number]
    settings = replace(old.settings, is_first_start=False)
    host = FrontService(
        settings,
        SOURCE_FORMAT,
        deployment.store,
        lambda: Ok(settings),
        SystemClock(),
    )
    deployment.hosts[number] = host
    await host.start()
    return host


async def _wait_until_ready(host: FrontService) -> None:
    readiness = host._components.readiness
    try:
        async with asyncio.timeout(_START_S):
            while not readiness.is_ready:
                await asyncio.sleep(_POLL_S)
    except TimeoutError:
        raise AssertionError(readiness.list_obstacles()) from None


async def _lose_store(deployment: Deployment, *, is_silent: bool) -> None:
    """Let the store fail, and all hosts notice it."""
    if is_silent:
        deployment.store.faults.is_silent = True
    else:
        deployment.store.faults.is_down = True
    deployment.store.put('other', 'x', b'')
    await asyncio.sleep(0.2)


async def _count_served(deployment: Deployment, seconds: float) -> int:
    """Send requests to all hosts by turns; return how many were served."""
    loop = asyncio.get_running_loop()
    sending: list[asyncio.Task[int]] = []
    until = loop.time() + seconds
    while loop.time() < until:
        number = len(sending) % len(deployment.hosts)
        sending.append(asyncio.create_task(_send(deployment, number)))
        await asyncio.sleep(1 / _CALLS_PER_S)
    return (await asyncio.gather(*sending)).count(200)


async def _send(deployment: Deployment, number: int) -> int:
    try:
        return (await deployment.send_to(number))[0]
    except ClientError:
        return 0


@pytest.mark.parametrize('is_silent', [False, True])
async def test_host_that_starts_without_the_store_asks_its_peers(
    *, is_silent: bool
) -> None:
    """It was not ready for as long as the store was away."""
    async with deploy('s1', 's2', domains=('a1', 'a1', 'a1')) as deployment:
        await deployment.wait_until_ready()
        await _lose_store(deployment, is_silent=is_silent)
        await _end(deployment.hosts[1])
        host = await _start_again(deployment, 1)
        await _wait_until_ready(host)
        await asyncio.sleep(0.5)
        status, _text, _response = await deployment.send_to(1)
        deployment.store.faults.is_silent = False
        deployment.store.faults.is_down = False
        await deployment.wait_for_sync(3)
        assert host._components.followers.knows_hosts()
    assert status == 200


async def test_host_that_starts_without_the_store_keeps_a_rate() -> None:
    async with deploy('s1', 's2', domains=('a1', 'a1', 'a1')) as deployment:
        deployment.configure(describe_route(), rate=_RATE)
        await deployment.wait_until_ready()
        await deployment.wait_for_sync(2)
        await _lose_store(deployment, is_silent=False)
        served = asyncio.create_task(_count_served(deployment, _WINDOW_S))
        await asyncio.sleep(0.5)
        await _end(deployment.hosts[1])
        host = await _start_again(deployment, 1)
        count = await served
        await _wait_until_ready(host)
    assert count <= (_RATE * _WINDOW_S + _RATE) * 1.1 + 20


async def test_host_that_its_peers_do_not_list_waits_for_the_store() -> None:
    """Hosts that don't count it would leave it no part of a rate."""
    async with deploy('s1', domains=('a1', 'a1')) as deployment:
        await deployment.wait_until_ready()
        deployment.store.remove(_TABLES.hosts, 'h2')
        await deployment.wait_for_sync()
        await _lose_store(deployment, is_silent=False)
        await _end(deployment.hosts[1])
        host = await _start_again(deployment, 1)
        await asyncio.sleep(4)
        assert not host._components.readiness.is_ready
        deployment.store.faults.is_down = False
        await _wait_until_ready(host)
