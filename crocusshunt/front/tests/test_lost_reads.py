"""Hosts that start while reads of one table are lost."""

import asyncio
from itertools import cycle

import pytest
from aiohttp import web
from result import Err, Result

from crocusshunt.feeds import (
    CallProgress,
    Changes,
    FeedError,
    FeedUnreachableError,
)
from crocusshunt.front.tests._backend import Backend
from crocusshunt.front.tests._deployment import Deployment, deploy
from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.standin import MemoryFeedStore, describe_route

_TABLES = SOURCE_FORMAT.tables
_BAD_PATH = '/a/bad'
_CRASH_COUNT = 3
_RATE = 20
_FLOOD_S = 4
_CALLS_PER_S = 60


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _lose_reads(monkeypatch: pytest.MonkeyPatch, lost: str) -> None:
    """Let reads of one table get no answer from now on."""
    read_table = MemoryFeedStore.read_table

    async def read_or_lose(
        store: MemoryFeedStore,
        table: str,
        progress: CallProgress | None = None,
    ) -> Result[Changes, FeedError]:
        if table != lost:
            return await read_table(store, table)
        await asyncio.sleep(1)
        return Err(FeedUnreachableError('lost'))

    monkeypatch.setattr(MemoryFeedStore, 'read_table', read_or_lose)


def _crash_when_asked(backend: Backend) -> None:
    async def crash(request: web.Request) -> None:
        if request.path == _BAD_PATH:
            await backend.crash()

    backend.override = crash


def _count_arrivals(deployment: Deployment, path: str) -> int:
    return sum(
        request.path == path
        for backend in deployment.backends
        for request in backend.received
    )


async def test_host_that_starts_sends_no_crashing_request_before_it_knows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers that know its address come before it is ready."""
    async with deploy('s1', 's2', 's3', 's4', 's5', 's6') as deployment:
        for backend in deployment.backends:
            _crash_when_asked(backend)
        while _count_arrivals(deployment, _BAD_PATH) < _CRASH_COUNT:
            await deployment.send(_BAD_PATH)
        await asyncio.sleep(1)
        _lose_reads(monkeypatch, _TABLES.crashes)
        await deployment.restart_hosts()
        await deployment.wait_for_sync(0.3)
        before = _count_arrivals(deployment, _BAD_PATH)
        status, _text, _response = await deployment.send(_BAD_PATH)
        assert status == 503
        assert _count_arrivals(deployment, _BAD_PATH) == before


async def test_hosts_without_the_table_of_hosts_keep_a_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each takes itself for the only one."""
    async with deploy('s1', 's2', domains=('a1', 'a1')) as deployment:
        deployment.configure(describe_route(), rate=_RATE)
        await deployment.wait_for_sync()
        _lose_reads(monkeypatch, _TABLES.hosts)
        await deployment.restart_hosts()
        await asyncio.sleep(0.5)
        hosts = cycle((0, 1))
        sending = []
        for _ in range(_FLOOD_S * _CALLS_PER_S):
            call = deployment.send_to(next(hosts), '/a/x')
            sending.append(asyncio.create_task(call))
            await asyncio.sleep(1 / _CALLS_PER_S)
        await asyncio.gather(*sending, return_exceptions=True)
        allowed = _RATE * (_FLOOD_S + 1) + _RATE
        assert _count_arrivals(deployment, '/a/x') <= allowed
