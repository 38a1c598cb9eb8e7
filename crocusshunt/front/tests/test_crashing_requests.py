"""A request that crashes each backend server that runs it."""

import asyncio
import io
import json
import time
from collections.abc import Iterator
from itertools import cycle

import pytest
from aiohttp import web

from crocusshunt.crashes import CrashSettings
from crocusshunt.front.tests._backend import NAMES, Backend
from crocusshunt.front.tests._deployment import Deployment, deploy
from crocusshunt.logs import start_logging
from crocusshunt.upstream import Connection, NotConnectedError

_SERVERS = tuple(f's{number}' for number in range(1, 13))
_BAD_PATH = '/a/bad'
# The users' bound: so many sendings may follow the third crash, once
# _SETTLING_S have passed since it.
_CRASHES = 3
_MAX_LATER_SENDINGS = 3
_SETTLING_S = 4
_ARRIVAL_TIMEOUT_S = 2


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _crash_when_asked(backend: Backend) -> None:
    async def crash(request: web.Request) -> None:
        if request.path == _BAD_PATH:
            await backend.crash()

    backend.override = crash


def _crash_late(backend: Backend) -> None:
    async def crash(request: web.Request) -> None:
        await asyncio.sleep(0.4)
        if request.path == _BAD_PATH:
            await backend.crash()
        await asyncio.sleep(0.2)

    backend.override = crash


def _reset_connection(backend: Backend) -> None:
    async def reset(request: web.Request) -> None:
        assert request.transport is not None
        request.transport.abort()

    backend.override = reset


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


async def test_request_is_not_sent_on_after_a_start_of_all_hosts() -> None:
    """All hosts forgot that it crashes servers, and it crashed more."""
    async with deploy(*_SERVERS, domains=('a1', 'b1')) as deployment:
        await deployment.wait_for_sync(2)
        for backend in deployment.backends:
            _crash_when_asked(backend)
        await _send_until_third_crash(deployment, cycle((0, 1)))
        await asyncio.sleep(1)
        await deployment.restart_hosts()
        await deployment.wait_until_ready()
        await asyncio.sleep(_SETTLING_S)
        before = len(_list_bad(deployment))
        for number in range(12):
            await deployment.send_to(number % 2, _BAD_PATH)
        assert len(_list_bad(deployment)) - before <= _MAX_LATER_SENDINGS
        assert (await deployment.send('/a/good'))[0] == 200


async def test_request_is_not_sent_on_where_no_crash_was_written() -> None:
    """The store was away from before the first crash until all hosts ended.

    So they could write nothing at their stop, as processes that are killed.
    """
    async with deploy(*_SERVERS, domains=('a1', 'b1')) as deployment:
        await deployment.wait_for_sync(2)
        for backend in deployment.backends:
            _crash_when_asked(backend)
        deployment.store.faults.is_down = True
        await _send_until_third_crash(deployment, cycle((0, 1)))
        await asyncio.sleep(1)
        await deployment.stop_hosts()
        deployment.store.faults.is_down = False
        await deployment.start_hosts()
        await deployment.wait_until_ready()
        await asyncio.sleep(_SETTLING_S)
        before = len(_list_bad(deployment))
        for number in range(12):
            await deployment.send_to(number % 2, _BAD_PATH)
        assert len(_list_bad(deployment)) - before <= _MAX_LATER_SENDINGS


async def test_server_that_goes_on_after_a_reset_has_not_crashed() -> None:
    async with deploy('s1', 's2') as deployment:
        for backend in deployment.backends:
            _reset_connection(backend)
        for _ in range(5):
            status, _text, _response = await deployment.send(_BAD_PATH)
            assert status == 502


async def test_host_cut_off_from_all_servers_blames_no_request() -> None:
    """Once it reaches them again, the request is served."""
    async with deploy('s1', 's2', 's3') as deployment:
        components = deployment.service._components  # noqa: SLF001
        connections = components.cluster.connections
        patch = pytest.MonkeyPatch()

        async def refuse(_address: str) -> Connection:
            raise NotConnectedError('refused')

        async def cut_off(request: web.Request) -> None:
            assert request.transport is not None
            patch.setattr(connections, 'open', refuse)
            request.transport.abort()

        for backend in deployment.backends:
            backend.override = cut_off
        for _ in deployment.backends:
            assert (await deployment.send(_BAD_PATH))[0] == 502
            patch.undo()
            await asyncio.sleep(1)
        for backend in deployment.backends:
            backend.override = None
        await asyncio.sleep(_SETTLING_S)
        assert (await deployment.send(_BAD_PATH))[0] == 200


async def test_frequent_request_is_served_after_a_common_failure() -> None:
    """Three servers that had it crash at once, for another reason.

    It is refused until it was sent once more, and answered.
    """
    async with deploy('s1', 's2', 's3', 's4') as deployment:
        crashed = asyncio.Event()

        async def hold(_request: web.Request) -> None:
            await crashed.wait()

        for backend in deployment.backends:
            backend.override = hold
        running = [
            asyncio.create_task(
                deployment.send(
                    _BAD_PATH, Cookie=f'{NAMES.affinity_cookie}={number}'
                )
            )
            for number in range(12)
        ]
        async with asyncio.timeout(_ARRIVAL_TIMEOUT_S):
            while len(_list_bad(deployment)) < len(running):
                await asyncio.sleep(0.01)
        for backend in deployment.backends[:3]:
            assert backend.received
            await backend.crash()
        crashed.set()
        await asyncio.gather(*running)
        await asyncio.sleep(CrashSettings().trial_after_s)
        statuses = {(await deployment.send(_BAD_PATH))[0] for _ in range(4)}
        assert statuses == {200}


async def test_copy_that_waits_at_a_server_is_taken_back() -> None:
    """The server would crash as soon as it ran the copy."""
    async with deploy(*_SERVERS) as deployment:
        waiting, *others = deployment.backends

        async def wait(_request: web.Request) -> None:
            await asyncio.sleep(3)

        waiting.override = wait
        for backend in others:
            _crash_when_asked(backend)
        started_at = time.monotonic()
        copies = [
            asyncio.create_task(
                deployment.send(
                    _BAD_PATH,
                    method='POST',
                    Cookie=f'{NAMES.affinity_cookie}={number}',
                )
            )
            for number in range(30)
        ]
        await asyncio.gather(*copies)
        assert waiting.received
        assert time.monotonic() - started_at < 2


async def test_log_tells_that_arrivals_are_the_same_request() -> None:
    log = io.StringIO()
    start_logging(stream=log)
    async with deploy(*_SERVERS) as deployment:
        for backend in deployment.backends:
            _crash_when_asked(backend)
        await _send_until_third_crash(deployment, cycle((0,)))
        await deployment.send('/a/good')
    lines = [json.loads(line) for line in log.getvalue().splitlines()]
    requests = [line for line in lines if line['event'] == 'request ended']
    *bad, good = [request['fingerprint'] for request in requests]
    assert len(bad) > 1
    assert len(set(bad)) == 1
    assert (bool(bad[0]), good) == (True, '')


async def test_crash_right_after_the_host_gave_up_counts() -> None:
    """The server runs the request until it hears that nobody waits for it.

    Another request, which is still in flight there, shows the crash.
    """
    async with deploy(*_SERVERS) as deployment:
        for backend in deployment.backends:
            _crash_late(backend)
        for number in range(_CRASHES):
            cookie = {'Cookie': f'{NAMES.affinity_cookie}={number}'}
            late = {**cookie, NAMES.deadline_ms: '300'}
            beside = deployment.send(f'/a/{number}', **cookie)
            await asyncio.gather(beside, deployment.send(_BAD_PATH, **late))
            await asyncio.sleep(0.3)
        arrived = len(_list_bad(deployment))
        assert arrived == _CRASHES
        status, text, _response = await deployment.send(_BAD_PATH)
        assert (status, 'quarantined' in text) == (503, True)
        assert len(_list_bad(deployment)) == arrived
