"""Copies of tables that come from another host in an odd way."""

import asyncio
import tracemalloc
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from crocusshunt.feeds import Changes, Row
from crocusshunt.front._peer_images import PeerImages

_SLOW_S = 3
_COPY_BYTES = 300_000
_MAX_TRICKLE_S = 2.5
_PARTS = 30
_MIB = 2**20
_ENDLESS_MIB = 512
_MAX_MEMORY_MIB = 160

Send = Callable[[web.StreamResponse], Awaitable[None]]


@asynccontextmanager
async def _serve(send: Send, coding: str = '') -> AsyncIterator[str]:
    """Serve a copy that is sent in a way of one's own."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        if coding:
            response.headers['Content-Encoding'] = coding
        await response.prepare(request)
        await send(response)
        return response

    runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    ip, port = runner.addresses[0]
    try:
        yield f'{ip}:{port}'
    finally:
        await runner.cleanup()


async def _fetch(send: Send, coding: str = '') -> Changes | None:
    images = PeerImages()
    async with _serve(send, coding) as address:
        changes = await images.fetch('a2', address, 0)
    await images.close()
    return changes


async def test_copy_that_takes_long_is_read_to_its_end() -> None:
    """What had come was thrown away after 2 s, and it was asked for anew."""
    content = msgspec.msgpack.encode(
        Changes((Row('a', b'x' * _COPY_BYTES, 3),), 5)
    )
    size = len(content) // _PARTS + 1

    async def send(response: web.StreamResponse) -> None:
        for start in range(0, len(content), size):
            await response.write(content[start : start + size])
            await asyncio.sleep(_SLOW_S / _PARTS)

    changes = await _fetch(send)
    assert changes is not None
    assert changes.version == 5


async def test_copy_that_trickles_is_given_up_for_that_of_another_host() -> (
    None
):
    async def send(response: web.StreamResponse) -> None:
        for _ in range(_PARTS):
            await response.write(b'x')
            await asyncio.sleep(_SLOW_S / _PARTS)

    now = asyncio.get_running_loop().time
    started_at = now()
    assert await _fetch(send) is None
    assert now() - started_at < _MAX_TRICKLE_S


async def test_copy_without_end_takes_little_memory() -> None:
    """Its host went over its memory limit."""
    packer = zlib.compressobj()
    zeros = bytes(_MIB)
    packed = [packer.compress(zeros) for _number in range(_ENDLESS_MIB)]

    async def send(response: web.StreamResponse) -> None:
        for part in packed:
            await response.write(part)

    tracemalloc.start()
    assert await _fetch(send, 'deflate') is None
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < _MAX_MEMORY_MIB * _MIB
