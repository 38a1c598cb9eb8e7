"""Registry of endpoints and who may call them."""

from collections.abc import AsyncIterator

import aiohttp
import pytest

from crocusshunt.api import ApiSection, ApiService, ApiSettings
from crocusshunt.api._endpoints import list_endpoints
from crocusshunt.core import HostIdentity, ManualClock
from crocusshunt.keys import digest_key
from crocusshunt.standin import PlatformService
from crocusshunt.store import PlatformSettings

_KEY = 'ck_bootstrap_00'


@pytest.fixture
async def service() -> AsyncIterator[ApiService]:
    platform = PlatformService('127.0.0.1', 0)
    await platform.start()
    section = ApiSection('127.0.0.1', 0, 'tcp://127.0.0.1:0', digest_key(_KEY))
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


async def test_every_endpoint_refuses_strangers(service: ApiService) -> None:
    async with aiohttp.ClientSession() as session:
        for endpoint in list_endpoints():
            url = f'{service.url}{endpoint.path.replace("{id}", "c1")}'
            async with session.request(endpoint.method, url) as answer:
                assert answer.status == 401, endpoint


async def test_operator_gets_the_status(service: ApiService) -> None:
    headers = {'Authorization': f'Bearer {_KEY}'}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(f'{service.url}/v1/status') as answer,
    ):
        assert (await answer.json())['host'] == 'h1'


async def test_undecodable_change_is_a_bad_request(service: ApiService) -> None:
    headers = {'Authorization': f'Bearer {_KEY}'}
    url = f'{service.url}/v1/changes'
    async with aiohttp.ClientSession(headers=headers) as session:
        for body in (b'\xff\xfe', b'{', b'{"change_id":1}'):
            async with session.post(url, data=body) as answer:
                assert answer.status == 400, body


def test_endpoints_are_unique() -> None:
    found = [(one.method, one.path) for one in list_endpoints()]
    assert len(found) == len(set(found))
