"""Responses that the HTTP library makes by itself are logged and counted."""

import asyncio

import pytest

from crocusshunt.front._connections import LibraryResponse
from crocusshunt.front._ingress import Port
from crocusshunt.front.tests._deployment import Deployment, deploy
from crocusshunt.metrics import render_metrics
from crocusshunt.front._metrics import HostCollector

_MALFORMED = b'GET /a/x HTTP/1.1\r\nno colon key-of-court\r\n\r\n'


async def _send_raw(address: str, content: bytes) -> bytes:
    """Return all that comes back until the host closes the connection."""
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(content)
    received = await reader.read()
    writer.close()
    return received


def _list_addresses(deployment: Deployment) -> dict[Port, str]:
    settings = deployment.service.settings
    internal = settings.internal_port
    return {
        Port.callers: settings.front_address,
        Port.directory: settings.directory_address,
        Port.readiness: settings.ready_address,
        Port.hosts: f'{settings.ip}:{internal}',
        Port.metrics: f'{settings.ip}:{internal + 1}',
    }


async def test_response_of_the_library_is_counted_at_each_port(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with deploy('s1') as deployment:
        components = deployment.service._components  # noqa: SLF001
        for port, address in _list_addresses(deployment).items():
            received = await _send_raw(address, _MALFORMED)
            assert b' 400 ' in received.splitlines()[0]
            noted = LibraryResponse(port, 400, 'MalformedRequestError')
            assert components.library_responses.counts[noted] == 1
        text = render_metrics(components.metrics, HostCollector(components))
    line = (
        b'crocus_library_responses_total'
        b'{cause="MalformedRequestError",port="hosts",status="400"} 1.0'
    )
    assert line in text
    assert 'key-of-court' not in caplog.text
