"""Requests that wait, or are sent again, while the configuration changes.

They kept the homes, the customer and the route that they had on arrival, and
reached servers that the newest configuration forbids.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from crocusshunt.catalog import (
    Catalog,
    CatalogIndex,
    CustomerRule,
    RouteRule,
    Target,
    digest_key,
)
from crocusshunt.front import FrontService
from crocusshunt.front._admission import admit
from crocusshunt.front._headers import RequestInfo
from crocusshunt.front._outcomes import Status
from crocusshunt.front._renewal import renew_admission
from crocusshunt.front.tests._backend import NAMES, Backend
from crocusshunt.front.tests._deployment import KEY, Deployment, deploy
from crocusshunt.standin import (
    SERVERS_TABLE,
    describe_route,
    encode_server,
)
from crocusshunt.upstream import Connection, NotConnectedError

Change = Callable[[Catalog], Catalog]

_KEY_HEADERS = f'Host: a.example\r\nAuthorization: Token {KEY}\r\n'
_FEW_S = 0.3


@pytest.fixture(autouse=True)
def _stop_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)


def _home_routes(catalog: Catalog) -> Catalog:
    home = frozenset('a')
    routes = tuple(replace(one, home_regions=home) for one in catalog.routes)
    return replace(catalog, routes=routes)


def _home_customers(catalog: Catalog) -> Catalog:
    home = frozenset('a')
    customers = [replace(one, home_regions=home) for one in catalog.customers]
    return replace(catalog, customers=tuple(customers))


def _withdraw_keys(catalog: Catalog) -> Catalog:
    customers = [
        replace(one, key_digests=frozenset()) for one in catalog.customers
    ]
    return replace(catalog, customers=tuple(customers))


def _give_key_away(catalog: Catalog) -> Catalog:
    customers = [replace(one, name='other') for one in catalog.customers]
    return replace(catalog, customers=tuple(customers))


def _remove_routes(catalog: Catalog) -> Catalog:
    return replace(catalog, routes=())


def _move_routes(catalog: Catalog) -> Catalog:
    targets = (Target('other-pool'),)
    routes = tuple(replace(one, targets=targets) for one in catalog.routes)
    return replace(catalog, routes=routes)


_CHANGES = (
    _home_routes,
    _home_customers,
    _withdraw_keys,
    _give_key_away,
    _remove_routes,
    _move_routes,
)
_BINDING = (_home_routes, _withdraw_keys)


def _put_in_force(hosts: list[FrontService], change: Change) -> None:
    """Give hosts a newer configuration, as if it had just come."""
    for host in hosts:
        cluster = host._components.cluster  # noqa: SLF001
        assert cluster.index is not None
        changed = change(cluster.index.catalog)
        newer = replace(changed, version=changed.version + 1)
        cluster.index = CatalogIndex(newer)


def _reject(request: web.Request) -> web.Response:
    headers = {
        NAMES.not_run: '1',
        NAMES.request_id: request.headers[NAMES.request_id],
    }
    return web.Response(status=503, headers=headers)


@asynccontextmanager
async def _deploy_apart(
    *domains: str, **route: Any
) -> AsyncIterator[tuple[Deployment, Backend, Backend]]:
    """Run hosts with one server in region a and one in region b."""
    async with deploy('s1', 's2', domains=domains or ('a1',)) as deployment:
        here, there = deployment.backends
        entry = encode_server(there.address, 'pool', 'b1')
        deployment.store.put(SERVERS_TABLE, there.name, entry)
        deployment.configure(describe_route(**route))
        await deployment.wait_for_sync(_FEW_S)
        yield deployment, here, there


@pytest.mark.parametrize('change', _CHANGES)
async def test_request_is_sent_again_only_where_the_newest_allows(
    change: Change,
) -> None:
    """The server of region a turns it away while the configuration changes."""
    async with _deploy_apart() as (deployment, here, there):

        async def turn_away(request: web.Request) -> web.Response:
            _put_in_force(deployment.hosts, change)
            return _reject(request)

        here.override = turn_away
        while not here.received:
            before = len(there.received)
            status, _text, response = await deployment.send()
        assert len(there.received) == before
        assert status == 503
        assert 0 < float(response.headers['Retry-After']) <= 2


async def test_request_that_may_have_run_is_not_refused_as_not_run() -> None:
    async with _deploy_apart() as (deployment, here, there):

        async def fail(request: web.Request) -> web.Response:
            _put_in_force(deployment.hosts, _remove_routes)
            request_id = request.headers[NAMES.request_id]
            headers = {NAMES.request_id: request_id, NAMES.signature: 'x'}
            return web.Response(status=500, headers=headers)

        here.override = fail
        while not here.received:
            before = len(there.received)
            status, _text, _response = await deployment.send()
        assert len(there.received) == before
        assert status == 500


async def test_repeats_stop_where_the_newest_forbids_them() -> None:
    def forbid(catalog: Catalog) -> Catalog:
        routes = tuple(
            replace(one, is_idempotent=False) for one in catalog.routes
        )
        return replace(catalog, routes=routes)

    async with deploy('s1', 's2') as deployment:

        async def fail(request: web.Request) -> web.Response:
            _put_in_force(deployment.hosts, forbid)
            request_id = request.headers[NAMES.request_id]
            headers = {NAMES.request_id: request_id, NAMES.signature: 'x'}
            return web.Response(status=500, headers=headers)

        for backend in deployment.backends:
            backend.override = fail
        status, _text, _response = await deployment.send()
        assert status == 500
        assert sum(len(one.received) for one in deployment.backends) == 1


@pytest.mark.parametrize('change', _BINDING)
async def test_request_waits_for_a_slot_only_where_the_newest_allows(
    change: Change,
) -> None:
    """All slots are in use when the configuration changes, and free later."""
    released = asyncio.Event()

    async def hang(_request: web.Request) -> None:
        await released.wait()

    route = {'kind': 'non_idempotent', 'target_latency_s': 4.0}
    async with _deploy_apart(**route) as (deployment, here, there):
        deployment.store.remove(SERVERS_TABLE, here.name)
        await deployment.wait_for_sync(_FEW_S)
        there.override = hang
        sending = [
            asyncio.create_task(deployment.send(f'/a/{number}', 'POST'))
            for number in range(40)
        ]
        async with asyncio.timeout(2):
            while not there.received:
                await asyncio.sleep(0.01)
        await asyncio.sleep(_FEW_S / 2)
        arrived = len(there.received)
        assert sum(not one.done() for one in sending) > arrived
        _put_in_force(deployment.hosts, change)
        released.set()
        answers = [await one for one in sending]
        assert len(there.received) == arrived
        counts = Counter(answer[0] for answer in answers)
        assert counts == {200: arrived, 503: len(sending) - arrived}
        for answer in answers:
            headers = answer[2].headers
            assert answer[0] == 200 or float(headers['Retry-After']) > 0


@pytest.mark.parametrize('change', _BINDING)
async def test_change_while_a_connection_opens_counts(
    monkeypatch: pytest.MonkeyPatch, change: Change
) -> None:
    async with _deploy_apart() as (deployment, here, there):
        deployment.store.remove(SERVERS_TABLE, here.name)
        await deployment.wait_for_sync(_FEW_S)

        def change_configuration(address: str) -> None:
            if address == there.address:
                _put_in_force(deployment.hosts, change)

        _patch_openings(monkeypatch, deployment.service, change_configuration)
        status, _text, response = await deployment.send()
        assert not there.received
        assert status == 503
        assert float(response.headers['Retry-After']) > 0


async def test_allowed_request_is_not_disturbed_by_changes() -> None:
    """Changes that say the same of its route and key, or more, do no harm."""

    def widen(catalog: Catalog) -> Catalog:
        wider = tuple(
            replace(one, max_attempts=5, targets=(*one.targets, Target('x', 0)))
            for one in catalog.routes
        )
        return replace(catalog, routes=wider)

    async with deploy('s1', 's2', 's3') as deployment:
        turned_away: set[str] = set()

        async def turn_first_away(request: web.Request) -> web.Response | None:
            _put_in_force(deployment.hosts, widen)
            request_id = request.headers[NAMES.request_id]
            if request_id in turned_away:
                return None
            turned_away.add(request_id)
            return _reject(request)

        for backend in deployment.backends:
            backend.override = turn_first_away
        statuses = [(await deployment.send())[0] for _ in range(20)]
        assert set(statuses) == {200}


async def _send_in_halves(
    deployment: Deployment, between: Callable[[], None]
) -> bytes:
    """Send a request whose body comes in two parts; return its answer."""
    host, port = deployment.service.settings.front_address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f'POST /a/x HTTP/1.1\r\n{_KEY_HEADERS}{NAMES.request_id}: r\r\n'
    writer.write(f'{head}Content-Length: 6\r\n\r\nabc'.encode())
    await asyncio.sleep(_FEW_S)
    between()
    writer.write(b'def')
    answer = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return answer


@pytest.mark.parametrize('change', [_withdraw_keys, _remove_routes])
async def test_change_while_a_body_is_read_counts(change: Change) -> None:
    async with deploy('s1') as deployment:
        answer = await _send_in_halves(
            deployment, lambda: _put_in_force(deployment.hosts, change)
        )
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'retry-after' in answer.lower()
        assert not deployment.backends[0].received


async def test_request_takes_the_newest_pool_while_it_was_sent_nowhere() -> (
    None
):
    async with deploy('s1', 's2') as deployment:
        other = deployment.backends[1]
        entry = encode_server(other.address, 'other-pool', 'a1')
        deployment.store.put(SERVERS_TABLE, other.name, entry)
        await deployment.wait_for_sync(_FEW_S)
        answer = await _send_in_halves(
            deployment, lambda: _put_in_force(deployment.hosts, _move_routes)
        )
        assert answer.startswith(b'HTTP/1.1 200')
        assert len(other.received) == 1


def _count_as_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the first host pass all requests on."""
    monkeypatch.setattr(
        'crocusshunt.front._server_reach.ServerReach.is_cut_off',
        property(lambda reach: reach.cluster.fleet.own.name == 'h1'),
    )


def _patch_openings(
    monkeypatch: pytest.MonkeyPatch,
    host: FrontService,
    note_opened: Callable[[str], None],
) -> None:
    """Open all connections of a host anew.

    :param note_opened: called with the address of each one that is open.
    """
    connections = host._components.cluster.connections  # noqa: SLF001
    open_at_once = connections.open

    async def open_and_note(address: str) -> Connection:
        connection = await open_at_once(address)
        note_opened(address)
        return connection

    monkeypatch.setattr(connections, 'take', lambda *_args, **_names: None)
    monkeypatch.setattr(connections, 'open', open_and_note)


@pytest.mark.parametrize('change', _BINDING)
@pytest.mark.parametrize('is_reached', [True, False])
async def test_request_is_passed_on_only_where_the_newest_allows(
    monkeypatch: pytest.MonkeyPatch,
    change: Change,
    is_reached: bool,  # noqa: FBT001
) -> None:
    """The configuration changes while a connection to another host opens."""
    async with _deploy_apart('a1', 'b1', 'b1') as (deployment, here, there):
        deployment.store.remove(SERVERS_TABLE, here.name)
        await deployment.wait_for_sync(1.5)
        _count_as_cut_off(monkeypatch)
        assert (await deployment.send())[0] == 200
        opened: list[str] = []

        def change_at_first(address: str) -> None:
            opened.append(address)
            if len(opened) == 1:
                _put_in_force(deployment.hosts[:1], change)
                if not is_reached:
                    raise NotConnectedError('refused')

        _patch_openings(monkeypatch, deployment.service, change_at_first)
        before = len(there.received)
        status, _text, response = await deployment.send()
        assert opened
        assert len(there.received) == before
        assert status == 503
        assert float(response.headers['Retry-After']) > 0


@pytest.mark.parametrize('change', [*_BINDING, _remove_routes])
async def test_other_host_decides_by_its_newer_configuration(
    monkeypatch: pytest.MonkeyPatch, change: Change
) -> None:
    """Its 404 or 401 became the answer to what was allowed on arrival."""
    async with _deploy_apart('a1', 'b1') as (deployment, here, there):
        deployment.store.remove(SERVERS_TABLE, here.name)
        await deployment.wait_for_sync(1.5)
        _count_as_cut_off(monkeypatch)
        assert (await deployment.send())[0] == 200
        _put_in_force(deployment.hosts[1:], change)
        before = len(there.received)
        status, _text, response = await deployment.send()
        assert len(there.received) == before
        assert status == 503
        assert float(response.headers['Retry-After']) > 0


@pytest.mark.parametrize('domains', [('a1',), ('a1', 'b1')])
async def test_request_without_a_common_home_is_refused_at_once(
    domains: tuple[str, ...],
) -> None:
    """Its route and its customer share no region."""

    def part_homes(catalog: Catalog) -> Catalog:
        routes = [
            replace(one, home_regions=frozenset('b')) for one in catalog.routes
        ]
        changed = replace(catalog, routes=tuple(routes))
        return _home_customers(changed)

    async with _deploy_apart(*domains) as (deployment, here, there):
        _put_in_force(deployment.hosts, part_homes)
        before = len(here.received) + len(there.received)
        for host, _domain in enumerate(domains):
            status, text, response = await deployment.send_to(host)
            assert (status, text) == (503, 'no-common-home')
            assert float(response.headers['Retry-After']) > 0
        assert len(here.received) + len(there.received) == before
        # The body isn't waited for.
        host_ip, port = deployment.service.settings.front_address.split(':')
        reader, writer = await asyncio.open_connection(host_ip, int(port))
        head = f'POST /a/x HTTP/1.1\r\n{_KEY_HEADERS}Content-Length: 6\r\n\r\n'
        writer.write(head.encode())
        async with asyncio.timeout(1):
            answer = await reader.readuntil(b'\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 503')
        writer.close()


_REGIONS = ('a', 'b', 'c')
_HOMES = st.frozensets(st.sampled_from(_REGIONS))


def _create_index(
    version: int, route_homes: frozenset[str], customer_homes: frozenset[str]
) -> CatalogIndex:
    targets = (Target('p'),)
    route = RouteRule('r', 'a.example', '/', targets, home_regions=route_homes)
    keys = frozenset((digest_key(KEY),))
    customer = CustomerRule('court', keys, home_regions=customer_homes)
    return CatalogIndex(Catalog(version, (route,), customers=(customer,)))


@given(st.lists(st.tuples(_HOMES, _HOMES), min_size=1, max_size=5))
def test_all_homes_since_the_arrival_bind(
    homes: list[tuple[frozenset[str], frozenset[str]]],
) -> None:
    request = RequestInfo('r', 'GET', 'a.example', '/x', KEY, None, '')
    indexes = [
        _create_index(version, *both) for version, both in enumerate(homes)
    ]
    admitted = admit(request, indexes[0])
    for index in indexes[1:]:
        if isinstance(admitted, Ok):
            admitted = renew_admission(admitted.ok_value, index)
    named = [one for both in homes for one in both if one]
    allowed = frozenset(_REGIONS).intersection(*named)
    if isinstance(admitted, Err):
        assert not allowed
        assert admitted.err_value.status == Status.unavailable
        assert admitted.err_value.retry_after_s is not None
    else:
        regions = admitted.ok_value.allowed_regions
        assert (regions is None) == (not named)
        assert allowed == (regions or frozenset(_REGIONS))
        assert regions != frozenset()
