"""End-to-end tests of a host with an in-memory store and test servers."""

import asyncio
from dataclasses import replace

import pytest
from aiohttp import web

from crocusshunt.front.tests._backend import NAMES, Backend, sign
from crocusshunt.front.tests._deployment import deploy
from crocusshunt.standin import describe_route


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _reset(backend: Backend, times: int) -> None:
    """Make a server reset the connections of the first requests it reads."""

    async def override(request: web.Request) -> None:
        if len(backend.received) <= times and request.transport is not None:
            request.transport.abort()

    backend.override = override


async def test_request_reaches_its_server_as_it_was_sent() -> None:
    async with deploy('s1') as deployment:
        deployment.configure(describe_route(timeout_s=2.0))
        await deployment.wait_for_sync()
        status, body, _response = await deployment.send('/a/x%2F?q=1&q=2')
        received = deployment.backends[0].received[0]
        assert (status, body, received.raw_path) == (
            200,
            's1',
            '/a/x%2F?q=1&q=2',
        )
        headers = received.headers
        assert headers[NAMES.customer] == 'court'
        assert headers[NAMES.expected_server] == 's1'
        assert 'Authorization' not in headers
        assert 0 < int(headers[NAMES.deadline_ms]) <= 2000


async def test_forged_customer_and_leaked_key_are_not_forwarded() -> None:
    async with deploy('s1') as deployment:
        forged = {NAMES.customer: 'bank', 'X_Crocusshunt_Tenant': 'bank'}
        await deployment.send(**forged, Referer='/?k=key-of-court')
        headers = deployment.backends[0].received[0].headers
        assert headers.getall(NAMES.customer) == ['court']
        assert 'bank' not in str(headers)
        assert 'key-of-court' not in str(headers)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/b/', 'key-of-court', 404), ('/a/', 'other', 401), ('/a/', None, 401)],
)
async def test_request_not_allowed_by_the_configuration_is_refused(
    path: str,
    key: str | None,
    status: int,
) -> None:
    async with deploy('s1') as deployment:
        assert (await deployment.send(path, key=key))[0] == status
        assert not deployment.backends[0].received


async def test_withdrawn_key_and_removed_route_stop_working() -> None:
    async with deploy('s1') as deployment:
        deployment.configure(describe_route(), keys=('other',))
        await deployment.wait_for_sync()
        assert (await deployment.send())[0] == 401
        deployment.configure(describe_route(prefix='/c/'), keys=('other',))
        await deployment.wait_for_sync()
        assert (await deployment.send())[0] == 404


async def test_reset_request_is_retried_only_on_idempotent_routes() -> None:
    async with deploy('s1', 's2') as deployment:
        for backend in deployment.backends:
            _reset(backend, times=1)
        status = (await deployment.send())[0]
        runs = sum(len(one.received) for one in deployment.backends)
        assert (status, runs) == (502, 2)

    async with deploy('s1', 's2') as deployment:
        deployment.configure(describe_route(kind='non_idempotent'))
        await deployment.wait_for_sync()
        for backend in deployment.backends:
            _reset(backend, times=1)
        status = (await deployment.send(method='POST'))[0]
        runs = sum(len(one.received) for one in deployment.backends)
        assert (status, runs) == (502, 1)


async def test_unreachable_server_fails_no_request() -> None:
    async with deploy('s1', 's2') as deployment:
        await deployment.backends[0].stop()
        deployment.configure(describe_route(kind='non_idempotent'))
        await deployment.wait_for_sync()
        statuses = [
            (await deployment.send(method='POST', Cookie=f'k={number}'))[0]
            for number in range(6)
        ]
        assert set(statuses) == {200}


async def test_request_shed_by_its_only_server_gets_retry_after() -> None:
    async def reject(request: web.Request) -> web.Response:
        return web.Response(status=503, headers={NAMES.not_run: '1'})

    async with deploy('s1') as deployment:
        deployment.backends[0].override = reject
        status, _body, response = await deployment.send(method='POST')
        assert status == 503
        assert float(response.headers['Retry-After']) > 0


async def test_misdirected_response_is_not_relayed() -> None:
    async def misdirect(request: web.Request) -> web.Response:
        return web.Response(status=421)

    async with deploy('s1') as deployment:
        deployment.backends[0].override = misdirect
        assert (await deployment.send())[0] == 503
        assert (await deployment.send())[0] == 503
        assert len(deployment.backends[0].received) == 1


async def test_unsigned_response_is_not_relayed() -> None:
    async def answer(request: web.Request) -> web.Response:
        echoed = {NAMES.request_id: request.headers[NAMES.request_id]}
        return web.Response(text='forged', headers=echoed)

    async with deploy('s1') as deployment:
        deployment.backends[0].override = answer
        assert (await deployment.send(method='POST'))[0] == 502


async def test_hanging_request_is_answered_at_the_route_timeout() -> None:
    async def hang(request: web.Request) -> None:
        await asyncio.sleep(5)

    async with deploy('s1') as deployment:
        deployment.configure(describe_route(timeout_s=1.0))
        await deployment.wait_for_sync()
        deployment.backends[0].override = hang
        async with asyncio.timeout(1.5):
            assert (await deployment.send())[0] == 504


async def test_disconnect_of_the_caller_cancels_its_request() -> None:
    disconnected = asyncio.Event()

    async def watch(request: web.Request) -> None:
        while request.transport is not None:
            await asyncio.sleep(0.01)
        disconnected.set()

    async with deploy('s1') as deployment:
        deployment.backends[0].override = watch
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await deployment.send()
        async with asyncio.timeout(0.5):
            await disconnected.wait()


async def test_draining_server_and_evacuated_domain_get_no_requests() -> None:
    async with deploy('s1', 's2') as deployment:
        deployment.announce(deployment.backends[0], state='draining')
        await deployment.wait_for_sync()
        for number in range(8):
            await deployment.send(Cookie=f'{NAMES.affinity_cookie}={number}')
        assert not deployment.backends[0].received
        deployment.store.put('op', 'evacuate/a1', b'{}')
        await deployment.wait_for_sync()
        assert (await deployment.send())[0] == 503
        assert len(deployment.backends[1].received) == 8


async def test_requests_for_one_object_go_to_one_server() -> None:
    async with deploy('s1', 's2', 's3') as deployment:
        for number in (1, 2, 1, 2, 1, 2):
            await deployment.send(Cookie=f'{NAMES.affinity_cookie}={number}')
        by_server = [
            {one.headers['Cookie'] for one in backend.received}
            for backend in deployment.backends
        ]
        assert sum(len(objects) for objects in by_server) == 2


async def test_customer_over_its_rate_gets_429_with_retry_after() -> None:
    async with deploy('s1') as deployment:
        deployment.configure(describe_route(target_latency_s=0.01), rate=2)
        await deployment.wait_for_sync(1.6)
        answers = [await deployment.send() for _ in range(6)]
        statuses = [answer[0] for answer in answers]
        assert statuses.count(429) >= 3
        refused = answers[-1][2]
        assert 0 < float(refused.headers['Retry-After']) <= 1


async def test_synchronized_host_is_ready_and_answers_lookups() -> None:
    async with deploy('s1') as deployment:
        settings = deployment.service.settings
        ready = f'http://{settings.ready_address}/ready'
        async with deployment.session.get(ready) as response:
            assert response.status == 200
        lookup = f'http://{settings.directory_address}/resolve'
        query = {'name': 'a.example', 'region': 'a', 'zone': 'a1'}
        async with deployment.session.get(
            lookup, params=query
        ) as lookup_response:
            assert (await lookup_response.json())['addresses'] == [
                settings.front_address
            ]


async def test_malformed_rows_are_ignored() -> None:
    async with deploy('s1') as deployment:
        deployment.store.put('op', 'config', b'{"version":')
        deployment.store.put('servers', 's9', b'\xff')
        await deployment.wait_for_sync()
        assert (await deployment.send())[0] == 200


async def test_requests_succeed_while_the_store_is_down() -> None:
    async with deploy('s1') as deployment:
        deployment.store.faults.is_down = True
        await deployment.wait_for_sync(0.3)
        assert (await deployment.send())[0] == 200


async def test_metrics_cover_requests_and_feeds() -> None:
    async with deploy('s1') as deployment:
        await deployment.send()
        port = deployment.service.settings.internal_port + 1
        async with deployment.session.get(
            f'http://127.0.0.1:{port}/metrics',
        ) as scraped:
            text = await scraped.text()
        assert 'crocus_requests_total{dimension="route",label="r0"' in text
        assert 'crocus_feed_age_seconds{table="servers"}' in text


async def test_signed_error_of_a_server_is_relayed() -> None:
    async def fail(request: web.Request) -> web.Response:
        return sign(request, web.Response(status=500, text='own'))

    async with deploy('s1') as deployment:
        deployment.backends[0].override = fail
        status, body, response = await deployment.send(method='POST')
        assert (status, body) == (500, 'own')
        assert response.headers[NAMES.signature] == 'signed'


async def test_request_at_a_stopping_host_is_answered_before_the_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that waited at its server lost its connection instead."""
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 1)

    async def hang(_request: web.Request) -> None:
        await asyncio.sleep(5)

    async with deploy('s1') as deployment:
        deployment.backends[0].override = hang
        service = deployment.service
        limits = replace(service.settings.limits, grace_s=2)
        service.settings = replace(service.settings, limits=limits)
        stop = asyncio.create_task(service.stop())
        await asyncio.sleep(0.2)
        status, _body, _response = await deployment.send()
        assert status == 504
        # The process ends when the stop is done.
        assert not stop.done()
        await stop
