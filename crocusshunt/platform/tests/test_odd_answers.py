"""Answers of the store that trickle, or have no end."""

import asyncio
import tracemalloc
from collections.abc import Awaitable, Callable

from aiohttp import web
from result import Result

from crocusshunt.feeds import Changes, FeedError, FeedUnreachableError
from crocusshunt.platform import RowStoreClient

_TRICKLE_S = 0.3
_TRICKLES = 20
_MAX_TRICKLE_S = 3
_MIB = 2**20
_ENDLESS_MIB = 400
_MAX_MEMORY_MIB = 160

Send = Callable[[web.StreamResponse], Awaitable[None]]


async def _read(send: Send) -> Result[Changes, FeedError]:
    """Read a table from a store that sends its answer in its own way."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await send(response)
        return response

    runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    ip, port = runner.addresses[0]
    client = RowStoreClient(f'{ip}:{port}')
    changes = await client.read_table('op')
    await client.close()
    await runner.cleanup()
    return changes


async def test_store_that_trickles_counts_as_failing_soon() -> None:
    """Its host was relied on to watch it for 10 s."""

    async def send(response: web.StreamResponse) -> None:
        for _ in range(_TRICKLES):
            await response.write(b' ')
            await asyncio.sleep(_TRICKLE_S)

    now = asyncio.get_running_loop().time
    started_at = now()
    assert isinstance((await _read(send)).err(), FeedUnreachableError)
    assert now() - started_at < _MAX_TRICKLE_S


async def test_answer_without_end_takes_little_memory() -> None:
    """Its host went over its memory limit."""
    spaces = b' ' * _MIB

    async def send(response: web.StreamResponse) -> None:
        for _ in range(_ENDLESS_MIB):
            await response.write(spaces)

    tracemalloc.start()
    assert (await _read(send)).is_err()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < _MAX_MEMORY_MIB * _MIB
