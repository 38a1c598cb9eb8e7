"""Benchmarks of what hosts tell each other, and of copies of tables.

Three hosts run, with stand-ins for their other parts; the messages of the rest
are like theirs. What a process spends beside messages is not in the figures.
"""

import asyncio
from collections.abc import Iterator
from random import Random

from aiohttp import ClientSession, web

from crocusshunt.bench._host_messages import HostCosts, HostMessages
from crocusshunt.bench._registry import Measurement, register_bench
from crocusshunt.feeds import TableImage
from crocusshunt.fleet import MAX_DATAGRAM_BYTES
from crocusshunt.front._peer_images import ImageCopies
from crocusshunt.standin import FeedStoreApplication, MemoryFeedStore

_SEED = 7
_HOSTS = (30, 100, 300)
_CHANGES = (0, 100, 1_000)
_MAX_BYTES_PER_S = 15_000
_MAX_CPU_PERCENT = 1.4
_PERCENT = 100
_ROUTES = 1_400


@register_bench('heartbeat')
def measure_heartbeats() -> Iterator[Measurement]:
    """Measure bytes and processor time by hosts and changes."""
    for hosts in _HOSTS:
        calm: HostCosts | None = None
        for changes in _CHANGES:
            costs = HostMessages(hosts).measure(changes)
            calm = calm or costs
            name = f'{hosts}_hosts.{changes}_changes'
            yield from _describe(name, costs, calm)
    yield from asyncio.run(_measure_copies())


def _describe(
    name: str, costs: HostCosts, calm: HostCosts
) -> Iterator[Measurement]:
    """Yield the figures of a play, beside those without changes."""
    yield Measurement(
        f'heartbeat.sent.{name}',
        round(costs.sent_bytes),
        'bytes/s a host',
        target=_MAX_BYTES_PER_S,
        baseline=round(calm.sent_bytes),
        seed=_SEED,
    )
    yield Measurement(
        f'heartbeat.received.{name}',
        round(costs.received_bytes),
        'bytes/s a host',
        target=_MAX_BYTES_PER_S,
        baseline=round(calm.received_bytes),
        seed=_SEED,
    )
    yield Measurement(
        f'heartbeat.summaries.{name}',
        round(costs.summary_bytes),
        'bytes/s of the host that speaks for its region',
        baseline=round(calm.summary_bytes),
        seed=_SEED,
    )
    yield Measurement(
        f'heartbeat.cpu.{name}',
        round(costs.cpu_s * _PERCENT, 3),
        '% of a core a host',
        target=_MAX_CPU_PERCENT,
        baseline=round(calm.cpu_s * _PERCENT, 3),
        seed=_SEED,
    )
    yield Measurement(
        f'heartbeat.largest.{name}',
        costs.largest,
        'bytes',
        target=MAX_DATAGRAM_BYTES,
        baseline=calm.largest,
        seed=_SEED,
    )


async def _measure_copies() -> tuple[Measurement, ...]:
    """Measure a table of routes on the wire, from the store and a host."""
    store = MemoryFeedStore()
    store.put('op', 'config', _write_routes())
    image = TableImage()
    image.replace((await store.read_table('op')).unwrap())
    application = FeedStoreApplication(store).create()
    copies = ImageCopies()

    async def respond(request: web.Request) -> web.Response:
        return copies.respond(request, 0, image)

    application.router.add_get('/image', respond)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    address = site.name
    try:
        store_bytes = await _read(f'{address}/rows-get?table=op')
        copy_bytes = await _read(f'{address}/image')
    finally:
        await runner.cleanup()
    return (
        Measurement(
            f'heartbeat.copy_of_{_ROUTES}_routes',
            copy_bytes,
            'bytes from a host near by',
            baseline=store_bytes,
            seed=_SEED,
        ),
    )


async def _read(url: str) -> int:
    """Return the length of an answer on the wire, in bytes."""
    async with (
        ClientSession(auto_decompress=False) as session,
        session.get(url) as response,
    ):
        response.raise_for_status()
        return len(await response.read())


def _write_routes() -> bytes:
    """Return text of about 300 bytes a route, most of it words that recur."""
    draws = Random(_SEED)
    routes = (
        '{"resource_kind":"routes",'
        f'"metadata":{{"name":"r-{draws.random()}"}},'
        f'"spec":{{"host":"{draws.random()}.example","path":"/x/",'
        '"service":"catalogue","kind":"idempotent","max_attempts":2,'
        '"timeout_s":1.2,"target_latency_s":0.6,"priority":2,"public":true,'
        '"sticky":false,"home_regions":["kzn","westcape","gauteng"]}}'
        for _number in range(_ROUTES)
    )
    return ','.join(routes).encode()
