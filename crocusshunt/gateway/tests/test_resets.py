"""Server connections reset at any step, and a gateway that was paused."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from crocusshunt.core import ManualClock
from crocusshunt.gateway.tests.site import (
    COURT_KEY,
    configure,
    create_rows,
    run_site,
)
from crocusshunt.routing import Server

_CHUNK = b'x' * 50_000


class _ResettingServer:
    """Server that resets each connection after reading some bytes."""

    def __init__(self, read_bytes: int) -> None:
        self.read_bytes = read_bytes
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.read_bytes:
            await reader.readexactly(self.read_bytes)
        writer.transport.abort()

    @asynccontextmanager
    async def run(self, name: str) -> AsyncIterator[Server]:
        listening = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        yield Server(name, 'verify', address, 'addis', 'addis-a', slots=4)
        listening.close()


@pytest.mark.parametrize('read_bytes', [0, 1, 200, 60_000])
@pytest.mark.parametrize('is_streamed', [True, False])
async def test_reset_write_is_unknown_and_sent_once(
    read_bytes: int, is_streamed: bool
) -> None:
    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(20):
            yield _CHUNK
            await asyncio.sleep(0)

    resetting = _ResettingServer(read_bytes)
    async with (
        resetting.run('s-1') as first,
        resetting.run('s-2') as second,
        run_site(servers=0) as site,
    ):
        configure(site.gateways[0], (*create_rows(()), first, second))
        async with site.session.post(
            f'{site.url}/ledger/1',
            data=chunks() if is_streamed else _CHUNK * 20,
            headers={'X-Api-Key': COURT_KEY},
        ) as answer:
            problem = await answer.json()
        assert problem['outcome'] == 'unknown'
        assert resetting.connections == 1


async def test_gateway_paused_past_the_deadline_does_not_dispatch() -> None:
    clock = ManualClock(epoch=1000)
    async with run_site(servers=2, clock=clock) as site:
        site.platform.platform.switches.delay_s = 0.2
        call = asyncio.create_task(_write(site.url, site.session))
        await asyncio.sleep(0.1)
        clock.advance(100)
        problem = await call
        assert problem['outcome'] == 'not_run'
        assert problem['type'].endswith('deadline-exceeded')
        assert not site.runs.runs


async def _write(url: str, session: aiohttp.ClientSession) -> dict[str, str]:
    async with session.post(
        f'{url}/ledger/1',
        headers={'X-Api-Key': COURT_KEY, 'Idempotency-Key': 'k1'},
    ) as answer:
        problem: dict[str, str] = await answer.json()
        return problem
