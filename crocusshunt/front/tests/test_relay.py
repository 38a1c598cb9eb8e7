"""Requests that a host cut off from all servers passes on to another host."""

import asyncio
import io
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import replace

import pytest
from aiohttp import ClientConnectionError, web

from crocusshunt.catalog import CatalogIndex
from crocusshunt.front import FrontService
from crocusshunt.front._headers import RELAYED_BY
from crocusshunt.front.tests._backend import NAMES
from crocusshunt.front.tests._cuts import CutKind, cut_from_servers
from crocusshunt.front.tests._deployment import KEY, Deployment, deploy
from crocusshunt.logs import start_logging
from crocusshunt.reports import explain_request
from crocusshunt.standin import describe_route

_SERVERS = ('s1', 's2', 's3', 's4')


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


@asynccontextmanager
async def _deploy_cut(
    *domains: str, cut: tuple[int, ...] = (0,)
) -> AsyncIterator[Deployment]:
    """Run hosts, some of which notice that they are cut off from servers."""
    async with deploy(*_SERVERS, domains=domains) as deployment:
        deployment.configure(
            describe_route(),
            describe_route(prefix='/w/', kind='non_idempotent', max_attempts=1),
            describe_route(prefix='/home-a/', home_regions=['a']),
            describe_route(prefix='/home-b/', home_regions=['b']),
        )
        await deployment.wait_for_sync(2)
        addresses = [backend.address for backend in deployment.backends]
        with ExitStack() as cuts:
            for host in cut:
                service = deployment.hosts[host]
                kind = CutKind.refused
                cuts.enter_context(cut_from_servers(service, addresses, kind))
                await deployment.send_to(host)
            await asyncio.sleep(1.5)
            yield deployment


def _count_for_retries(host: FrontService) -> int:
    """Return how many requests a host counts for its retries."""
    heartbeat_loop = host._components.heartbeat_loop  # noqa: SLF001
    retries = heartbeat_loop.tokens.limits.retries
    now = retries.clock.monotonic()
    return retries.limiter.describe('pool', now).requests


def _count_runs(deployment: Deployment) -> Counter[str]:
    return Counter(
        request.headers[NAMES.request_id]
        for backend in deployment.backends
        for request in backend.received
    )


async def test_server_gets_what_the_caller_sent_and_time_that_is_left() -> None:
    async with _deploy_cut('a1', 'a1') as deployment:
        status, _text, response = await deployment.send('/w/x?y=1', 'POST')
        assert (status, response.headers[NAMES.signature]) == (200, 'signed')
        got = next(
            request
            for backend in deployment.backends
            for request in backend.received
            if request.method == 'POST'
        )
        assert got.path_qs == '/w/x?y=1'
        assert got.headers['Host'] == 'a.example'
        assert got.headers[NAMES.customer] == 'court'
        assert KEY not in str(got.headers)
        assert 'Relay' not in str(got.headers)
        assert 2500 < int(got.headers[NAMES.deadline_ms]) < 3000


async def test_write_runs_once() -> None:
    async with _deploy_cut('a1', 'a1', 'b1') as deployment:
        statuses = await asyncio.gather(
            *(deployment.send('/w/x', 'POST') for _ in range(40))
        )
        assert {sent[0] for sent in statuses} == {200}
        assert max(_count_runs(deployment).values()) == 1


async def test_write_that_may_have_run_is_not_refused_as_not_run() -> None:
    """The other host ends while a server runs the request."""
    async with _deploy_cut('a1', 'a1') as deployment:
        other = deployment.hosts[1]

        async def end_other(_request: web.Request) -> None:
            for runner in other._servers.runners.values():  # noqa: SLF001
                assert runner.server is not None
                for connection in runner.server.connections:
                    connection.force_close()
            await asyncio.sleep(0.1)

        for backend in deployment.backends:
            backend.override = end_other
        status, _text, _response = await deployment.send('/w/x', 'POST')
        assert status == 502
        assert max(_count_runs(deployment).values()) == 1


async def test_refusal_of_the_other_host_reaches_the_caller() -> None:
    async with _deploy_cut('a1', 'a1') as deployment:

        async def shed(request: web.Request) -> web.Response:
            response = web.Response(status=503)
            response.headers[NAMES.not_run] = '1'
            response.headers[NAMES.request_id] = request.headers[
                NAMES.request_id
            ]
            return response

        for backend in deployment.backends:
            backend.override = shed
        status, text, response = await deployment.send('/w/x', 'POST')
        assert (status, text) == (503, 'not-run-shed')
        assert float(response.headers['Retry-After']) > 0
        assert 'Crocus-Relay-Refusal' not in response.headers


async def test_request_that_meets_refusals_only_is_passed_on() -> None:
    """The host has just had an answer, and not tried all servers yet."""
    names = tuple(f's{number}' for number in range(12))
    async with deploy(*names, domains=('a1', 'a1')) as deployment:
        await deployment.wait_for_sync(2)
        addresses = [backend.address for backend in deployment.backends]
        assert (await deployment.send())[0] == 200
        cut = cut_from_servers(deployment.hosts[0], addresses, CutKind.refused)
        with cut:
            statuses = [
                (await deployment.send(f'/a/{number}', 'POST'))[0]
                for number in range(8)
            ]
        # A connection that is still open may be tried, and break, first.
        assert statuses.count(200) >= 7


async def test_request_that_is_passed_on_allows_retries_at_one_host() -> None:
    """Counted at both, it would allow more retries than the users' limit."""
    async with deploy(*_SERVERS, domains=('a1', 'a1')) as deployment:
        await deployment.wait_for_sync(2)
        addresses = [backend.address for backend in deployment.backends]
        cut = cut_from_servers(deployment.hosts[0], addresses, CutKind.refused)
        before = sum(map(_count_for_retries, deployment.hosts))
        with cut:
            for _ in range(20):
                await deployment.send('/a/x', 'POST')
        assert sum(map(_count_for_retries, deployment.hosts)) - before == 20


async def test_request_is_not_passed_on_twice() -> None:
    """Where no host reaches a server, requests are refused at once."""
    async with _deploy_cut('a1', 'a1', cut=(0, 1)) as deployment:
        before = _count_runs(deployment)
        started_at = time.monotonic()
        statuses = [(await deployment.send())[0] for _ in range(10)]
        assert set(statuses) == {503}
        assert time.monotonic() - started_at < 1
        assert _count_runs(deployment) == before


async def test_host_with_an_older_configuration_does_not_take_requests() -> (
    None
):
    """Otherwise the host that passes them on would go back to it."""
    async with _deploy_cut('a1', 'a1', 'a1') as deployment:
        index = deployment.hosts[1]._components.cluster.index  # noqa: SLF001
        assert index is not None
        older = replace(index.catalog, version=index.catalog.version - 1)
        behind = deployment.hosts[1]._components.cluster  # noqa: SLF001
        behind.index = CatalogIndex(older)
        statuses = [(await deployment.send('/w/x', 'POST'))[0] for _ in '1234']
        assert set(statuses) == {200}
        other = deployment.hosts[2]._components.cluster  # noqa: SLF001
        other.index = behind.index
        assert (await deployment.send('/w/x', 'POST'))[0] == 503


async def test_host_that_starts_leaves_requests_to_another_one() -> None:
    """Its refusal became the caller's answer, while a third host had room."""
    async with _deploy_cut('a1', 'a1', 'a1') as deployment:
        deployment.hosts[1]._components.records._is_read = False  # noqa: SLF001
        statuses = [(await deployment.send('/w/x', 'POST'))[0] for _ in '1234']
        assert set(statuses) == {200}


async def test_request_is_passed_on_within_its_home_regions_only() -> None:
    async with _deploy_cut('a1', 'a1', 'b1', cut=(0, 1)) as deployment:
        assert (await deployment.send('/a/x'))[0] == 200
        before = _count_runs(deployment)
        assert (await deployment.send('/home-a/x'))[0] == 503
        assert _count_runs(deployment) == before


async def test_request_that_a_caller_gives_up_is_given_up_everywhere() -> None:
    async with _deploy_cut('a1', 'a1') as deployment:
        ended = asyncio.Event()

        async def hang(request: web.Request) -> None:
            while request.transport is not None:
                await asyncio.sleep(0.05)
            ended.set()

        for backend in deployment.backends:
            backend.override = hang
        running = asyncio.create_task(deployment.send())
        await asyncio.sleep(0.3)
        running.cancel()
        await asyncio.wait_for(ended.wait(), 0.5)


async def test_stopping_host_finishes_what_it_was_passed() -> None:
    async with _deploy_cut('a1', 'a1') as deployment:

        async def delay(_request: web.Request) -> None:
            await asyncio.sleep(1)

        for backend in deployment.backends:
            backend.override = delay
        running = asyncio.create_task(deployment.send('/w/x', 'POST'))
        await asyncio.sleep(0.3)
        handler = deployment.hosts[1]._components.handler  # noqa: SLF001
        assert handler.in_flight.count == 1
        stopping = asyncio.create_task(deployment.hosts[1].stop())
        assert (await running)[0] == 200
        await stopping


async def test_caller_cannot_claim_to_be_a_host() -> None:
    """Its request is limited to its rate like any other."""
    async with _deploy_cut('a1', 'a1') as deployment:
        status, _text, _response = await deployment.send(
            key='no-key', Crocus_Relayed_By='h2'
        )
        assert status == 401


async def test_log_names_the_host_that_a_request_was_passed_on_to() -> None:
    log = io.StringIO()
    start_logging(stream=log)
    async with _deploy_cut('a1', 'a1') as deployment:
        response = (await deployment.send('/w/x', 'POST'))[2]
        request_id = response.headers[NAMES.request_id]
    lines = log.getvalue().splitlines()
    explained = explain_request(request_id, lines).unwrap().describe()
    assert '  host  h2: answered' in explained
    relayed = [line for line in lines if 'relayed request ended' in line]
    assert any(request_id in line for line in relayed)


async def test_request_passed_on_after_a_stop_is_not_taken() -> None:
    """The process ends next, and would cut the request without an answer."""
    async with deploy('s1') as deployment:
        service = deployment.service
        await service.stop()
        settings = service.settings
        url = f'http://{settings.ip}:{settings.internal_port}/a/x'
        with pytest.raises(ClientConnectionError):
            await deployment.session.post(url, headers={RELAYED_BY: 'h2'})
