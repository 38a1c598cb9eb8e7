"""Tables in several pages, of which some do not come at first."""

from collections import Counter

from aiohttp import web
from aiohttp.typedefs import Handler

from crocusshunt.platform import RowStoreClient
from crocusshunt.standin import FeedStoreApplication, MemoryFeedStore

_ROWS = 1_400
_PAGES = 3
_STATUS_REFUSED = 503


def _create_application(asked: Counter[str]) -> web.Application:
    """Return a store that refuses each page once."""
    store = MemoryFeedStore()
    for number in range(_ROWS):
        store.put('servers', f's{number:04}', b'x')

    @web.middleware
    async def refuse_once(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        start = request.query.get('from', '')
        asked[start] += 1
        if asked[start] == 1:
            return web.Response(status=_STATUS_REFUSED)
        answer = await handler(request)
        assert isinstance(answer, web.StreamResponse)
        return answer

    application = FeedStoreApplication(store).create()
    application.middlewares.append(refuse_once)
    return application


async def test_pages_that_came_are_not_read_again() -> None:
    """A read begins at its first page, whichever of them failed."""
    asked: Counter[str] = Counter()
    runner = web.AppRunner(_create_application(asked))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    client = RowStoreClient(f'{host}:{port}')
    answer = await client.read_table('servers')
    while answer.is_err():
        answer = await client.read_table('servers')
    await client.close()
    await runner.cleanup()
    assert len(answer.unwrap().rows) == _ROWS
    assert asked.total() == 2 * _PAGES
