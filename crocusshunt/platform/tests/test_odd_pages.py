"""Pages of the store with rows that another writer left."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from crocusshunt.feeds import Changes, Row
from crocusshunt.platform import RowStoreClient
from crocusshunt.platform._row_format import Reply, decode_page

_MAX_KEY_BYTES = 200
_GOOD_ROW = '{"key":"good","value":"eA==","ver":3}'
_ODD_ROWS = (
    r'{"key":"\ud800","value":"eA==","ver":2}',
    '{"key":7,"value":"eA==","ver":2}',
    '{"key":null,"value":"eA==","ver":2}',
    '{"value":"eA==","ver":2}',
    '{"key":"odd","value":{},"ver":2}',
    '{"key":"odd","value":"eA==","ver":-1}',
    f'{{"key":"odd","value":"eA==","ver":{"9" * 400}}}',
    f'{{"key":"odd","value":"eA==","ver":{"9" * 6000}}}',
    '[]',
    '"odd"',
    'null',
)


def _encode_page(*rows: str) -> bytes:
    return f'{{"rows":[{",".join(rows)}],"ver":5,"has_more":false}}'.encode()


@asynccontextmanager
async def _serve(
    answer: Callable[[web.Request], web.StreamResponse],
    delay_s: float = 0,
) -> AsyncIterator[RowStoreClient]:
    async def handle(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(delay_s)
        return answer(request)

    application = web.Application()
    application.router.add_get('/rows-get', handle)
    runner = web.AppRunner(application, shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    client = RowStoreClient(f'{host}:{port}')
    yield client
    await client.close()
    await runner.cleanup()


@pytest.mark.parametrize('odd', _ODD_ROWS)
def test_odd_row_leaves_the_others_of_its_page_readable(odd: str) -> None:
    """One row kept a host that started from reading the table, for ever."""
    page = decode_page(Reply(_encode_page(odd, _GOOD_ROW), 0)).unwrap()
    assert page.decode_changes() == Changes((Row('good', b'x', 3),), 5)


def test_bytes_that_are_no_text_leave_the_other_rows_readable() -> None:
    content = _encode_page('{"key":"@","ver":2}', _GOOD_ROW)
    page = decode_page(Reply(content.replace(b'@', b'\xff'), 0)).unwrap()
    assert Row('good', b'x', 3) in page.decode_rows()


@pytest.mark.parametrize('content', [b'', b'[]', b'{"rows":7}', b'{"rows":['])
def test_answer_that_is_no_page_is_an_error(content: bytes) -> None:
    assert decode_page(Reply(content, 0)).is_err()


async def test_longest_key_at_the_end_of_a_page_lets_the_next_be_read() -> None:
    """The next page was asked from a key that no row may have."""
    keys = [f'{number:04}'.ljust(_MAX_KEY_BYTES, 'x') for number in range(1200)]

    def answer(request: web.Request) -> web.Response:
        start = request.query.get('from', '')
        if len(start.encode()) > _MAX_KEY_BYTES:
            return web.Response(status=400)
        left = [key for key in keys if key >= start]
        rows = [{'key': key, 'value': '', 'ver': 1} for key in left[:500]]
        page = {'rows': rows, 'ver': 1, 'has_more': len(left) > 500}
        return web.json_response(page)

    async with _serve(answer) as client:
        changes = (await client.read_table('servers')).unwrap()
    assert [row.key for row in changes.rows] == keys


async def test_pages_that_do_not_go_on_are_an_error() -> None:
    def answer(_request: web.Request) -> web.Response:
        rows = [{'key': 'a', 'value': '', 'ver': 1}]
        return web.json_response({'rows': rows, 'ver': 1, 'has_more': True})

    async with asyncio.timeout(5), _serve(answer) as client:
        assert (await client.read_table('servers')).is_err()


async def test_table_that_takes_long_to_read_is_read_in_the_end() -> None:
    """A host behind a thin link gave up each read, so it was never ready."""

    def answer(_request: web.Request) -> web.Response:
        return web.Response(body=_encode_page(_GOOD_ROW))

    began_at = time.monotonic()
    async with asyncio.timeout(20), _serve(answer, delay_s=2) as client:
        while (await client.read_table('servers')).is_err():
            await asyncio.sleep(0.1)
    assert time.monotonic() - began_at < 10


async def test_table_of_several_slow_pages_is_read_in_the_end() -> None:
    """The wait for each page began anew from the shortest."""
    keys = [f'{number:04}' for number in range(1200)]

    def answer(request: web.Request) -> web.Response:
        start = request.query.get('from', '')
        left = [key for key in keys if key >= start]
        rows = [{'key': key, 'value': '', 'ver': 1} for key in left[:500]]
        page = {'rows': rows, 'ver': 1, 'has_more': len(left) > 500}
        return web.json_response(page)

    async with asyncio.timeout(30), _serve(answer, delay_s=2) as client:
        while (await client.read_table('servers')).is_err():
            await asyncio.sleep(0.1)
