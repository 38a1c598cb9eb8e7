"""A request that crashes each backend server that runs it."""

import asyncio
from collections.abc import Iterator
from itertools import cycle

import pytest
from aiohttp import web

from crocusshunt.front.tests._deployment import Backend, Deployment, deploy

_SERVERS = tuple(f's{number}' for number in range(1, 13))
_BAD_PATH = '/a/bad'
# The users' bound: so many sendings may follow the third crash, once
# _SETTLING_S have passed since it.
_CRASHES = 3
_MAX_LATER_SENDINGS = 3
_SETTLING_S = 4


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _crash_when_asked(backend: Backend) -> None:
    async def crash(request: web.Request) -> None:
        if request.path == _BAD_PATH:
            await backend.crash()

    backend.override = crash


def _list_bad(deployment: Deployment) -> list[web.Request]:
    return [
        request
        for backend in deployment.backends
        for request in backend.received
        if request.path == _BAD_PATH
    ]


async def _send_until_third_crash(
    deployment: Deployment, hosts: Iterator[int]
) -> None:
    while len(_list_bad(deployment)) < _CRASHES:
        await deployment.send_to(next(hosts), _BAD_PATH)


async def test_request_is_no_longer_sent_after_three_crashes() -> None:
    """Each of its arrivals has a new id, and other requests are served."""
    async with deploy(*_SERVERS) as deployment:
        for backend in deployment.backends:
            _crash_when_asked(backend)
        await _send_until_third_crash(deployment, cycle((0,)))
        await asyncio.sleep(_SETTLING_S)
        before = len(_list_bad(deployment))
        for _ in range(6):
            status, _text, response = await deployment.send(_BAD_PATH)
        assert len(_list_bad(deployment)) - before <= _MAX_LATER_SENDINGS
        assert status == 503
        assert float(response.headers['Retry-After']) > 0
        assert (await deployment.send('/a/good'))[0] == 200


async def test_other_hosts_do_not_send_a_request_after_three_crashes() -> None:
    """Neither in the same region nor in another one."""
    domains = ('a1', 'a1', 'b1')
    async with deploy(*_SERVERS, domains=domains) as deployment:
        await deployment.wait_for_sync(2)
        for backend in deployment.backends:
            _crash_when_asked(backend)
        await _send_until_third_crash(deployment, cycle((0, 1, 2)))
        await asyncio.sleep(_SETTLING_S)
        before = len(_list_bad(deployment))
        statuses = [
            (await deployment.send_to(number % 3, _BAD_PATH))[0]
            for number in range(9)
        ]
        assert len(_list_bad(deployment)) - before <= _MAX_LATER_SENDINGS
        assert set(statuses[-3:]) == {503}
