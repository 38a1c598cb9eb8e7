"""Tests of the endpoints and of the roles that they require."""

from collections.abc import AsyncIterator
from dataclasses import replace

import aiohttp
import msgspec
import pytest

from crocusshunt.api import ApiSection, ApiService, ApiSettings, ChangeDocument
from crocusshunt.api._endpoints import list_endpoints
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.core import HostIdentity, ManualClock
from crocusshunt.keys import digest_key
from crocusshunt.operators import Operator, Role
from crocusshunt.routing import Pool, Row, find_row_table
from crocusshunt.standin import PlatformService
from crocusshunt.storeclient import PlatformSettings
from crocusshunt.witnesses import Witness

_ADMINISTRATOR_KEY = 'ck_bootstrap_00'
_OPERATOR_KEY = 'ck_mina_00'


@pytest.fixture
async def service() -> AsyncIterator[ApiService]:
    platform = PlatformService('127.0.0.1', 0)
    await platform.start()
    section = ApiSection(
        '127.0.0.1', 0, 'tcp://127.0.0.1:0', digest_key(_ADMINISTRATOR_KEY)
    )
    started = ApiService(
        ApiSettings(
            HostIdentity('h1', 'addis', 'addis-a'),
            section,
            PlatformSettings(platform.url),
        ),
        ManualClock(),
    )
    await started.start()
    yield started
    await started.stop()
    await platform.stop()


async def test_every_endpoint_requires_a_key(service: ApiService) -> None:
    async with aiohttp.ClientSession() as session:
        for endpoint in list_endpoints():
            url = f'{service.url}{endpoint.path.replace("{id}", "c1")}'
            async with session.request(endpoint.method, url) as response:
                assert response.status == 401, endpoint


async def test_operator_gets_the_status(service: ApiService) -> None:
    headers = {'Authorization': f'Bearer {_ADMINISTRATOR_KEY}'}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(f'{service.url}/v1/status') as response,
    ):
        assert (await response.json())['host'] == 'h1'


async def test_undecodable_change_is_a_bad_request(service: ApiService) -> None:
    headers = {'Authorization': f'Bearer {_ADMINISTRATOR_KEY}'}
    url = f'{service.url}/v1/changes'
    async with aiohttp.ClientSession(headers=headers) as session:
        for body in (b'\xff\xfe', b'{', b'{"change_id":1}'):
            async with session.post(url, data=body) as response:
                assert response.status == 400, body


def test_endpoints_are_unique() -> None:
    found = [(one.method, one.path) for one in list_endpoints()]
    assert len(found) == len(set(found))


async def test_required_role_depends_on_changed_tables(
    service: ApiService,
) -> None:
    rows = (
        Operator('mina', Role.operate, digest_key(_OPERATOR_KEY)),
        Operator('root', Role.administer, digest_key(_ADMINISTRATOR_KEY)),
    )
    first = await _propose(service, _ADMINISTRATOR_KEY, *rows)
    assert first == 200
    pool = Pool('verify')
    witness = Witness('w', 'tcp://127.0.0.1:1', 'addis', 'addis-a')
    operator = replace(rows[0], role=Role.administer)
    assert await _propose(service, _OPERATOR_KEY, operator) == 403
    assert await _propose(service, _OPERATOR_KEY, witness) == 403
    assert await _propose(service, _OPERATOR_KEY, pool, destroyed=('w',)) == 403
    assert await _propose(service, _OPERATOR_KEY, pool) == 200


async def _propose(
    service: ApiService,
    key: str,
    *rows: Row,
    destroyed: tuple[str, ...] = (),
) -> int:
    revision = service.feed.configuration.revision
    document = ChangeDocument(
        f'c{revision}',
        revision,
        'test',
        tuple(
            EditRequest(find_row_table(row), row.name, encode_row(row))
            for row in rows
        ),
        destroyed,
    )
    headers = {'Authorization': f'Bearer {key}'}
    url = f'{service.url}/v1/changes'
    body = msgspec.json.encode(document)
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(url, data=body) as response,
    ):
        return response.status
