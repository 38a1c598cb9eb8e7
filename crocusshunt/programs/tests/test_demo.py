"""The demonstration in serving mode, as another program uses it."""

import signal
import subprocess
from collections.abc import Iterator

import aiohttp
import msgspec
import pytest

from crocusshunt.demo import FleetDocument
from crocusshunt.programs.tests.deployment import PROGRAMS, STATUS_OK, TIMEOUT_S


@pytest.fixture(params=['abay', 'trosarina'])
def fleet_document(request: pytest.FixtureRequest) -> Iterator[FleetDocument]:
    demo = subprocess.Popen(
        [PROGRAMS / 'crocus-demo', '--serve', f'--deployment={request.param}'],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield _read_document(demo)
        demo.send_signal(signal.SIGTERM)
        assert demo.wait(TIMEOUT_S) == 0
    finally:
        demo.kill()
        demo.wait()


async def test_sample_requests_succeed_unchanged(
    fleet_document: FleetDocument,
) -> None:
    async with aiohttp.ClientSession() as session:
        for sample in fleet_document.sample_requests:
            async with session.request(
                sample.method,
                sample.url,
                headers=sample.headers,
                data=sample.body or None,
            ) as response:
                text = await response.text()
                assert response.status == STATUS_OK, text
            received = msgspec.json.decode(text)
            assert received['customer'] == sample.customer
            assert received['body'] == sample.body
            assert not any(key in text for key in fleet_document.keys.values())


async def test_standin_switches_take_effect(
    fleet_document: FleetDocument,
) -> None:
    url = f'{fleet_document.standin}/standin/switches'
    async with aiohttp.ClientSession() as session:
        async with session.put(url, json={'is_down': True}) as response:
            assert response.status == STATUS_OK
        async with session.get(
            f'{fleet_document.standin}/v1/hosts'
        ) as response:
            assert response.status == 503


def _read_document(demo: subprocess.Popen[bytes]) -> FleetDocument:
    assert demo.stdout is not None
    return msgspec.json.decode(demo.stdout.readline(), type=FleetDocument)
