"""The client of the store, against a stand-in of the store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from result import Result

from crocusshunt.feeds import (
    CallProgress,
    Changes,
    FeedError,
    FeedRefusedError,
    FeedUnreachableError,
    HistoryLostError,
    RowWrite,
    TableImage,
)
from crocusshunt.platform import RowStoreClient
from crocusshunt.standin import FeedStoreApplication, MemoryFeedStore

StoreAndClient = tuple[MemoryFeedStore, RowStoreClient]


@asynccontextmanager
async def _serve(store: MemoryFeedStore) -> AsyncIterator[RowStoreClient]:
    runner = web.AppRunner(FeedStoreApplication(store).create())
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    client = RowStoreClient(f'{host}:{port}')
    yield client
    await client.close()
    await runner.cleanup()


@pytest.fixture
async def store_and_client() -> AsyncIterator[StoreAndClient]:
    store = MemoryFeedStore()
    async with _serve(store) as client:
        yield store, client


class _ChangingStore(MemoryFeedStore):
    """Its first and its last row change after the first page of a read."""

    has_changed = False

    async def read_table(
        self, table: str, progress: CallProgress | None = None
    ) -> Result[Changes, FeedError]:
        page = await MemoryFeedStore.read_table(self, table)
        if not self.has_changed:
            self.put(table, 's000', b'changed')
            self.put(table, 's999', b'changed')
        self.has_changed = True
        return page


async def test_table_of_several_pages_is_read_completely(
    store_and_client: StoreAndClient,
) -> None:
    store, client = store_and_client
    for number in range(1100):
        store.put('servers', f's{number:04}', b'x')
    store.put('op', 'config', b'y')
    changes = (await client.read_table('servers')).unwrap()
    assert len(changes.rows) == 1100
    assert changes.version == 1101


async def test_copy_taken_from_a_peer_misses_no_change_between_pages() -> None:
    """It took up the feed at a row of the second page, past the change."""
    store = _ChangingStore()
    for number in range(1000):
        store.put('servers', f's{number:03}', b'x')
    peer = TableImage()
    copy = TableImage()
    async with _serve(store) as client:
        peer.replace((await client.read_table('servers')).unwrap())
        copy.replace(peer.export())
        changes = await client.read_changes(
            'servers', copy.version, wait_s=0, answer_s=1
        )
    copy.merge(changes.unwrap())
    assert copy.rows['s000'].content == b'changed'
    assert copy.changed_at == store.version


async def test_feed_answers_as_soon_as_a_row_changes(
    store_and_client: StoreAndClient,
) -> None:
    store, client = store_and_client
    pending_call = asyncio.create_task(
        client.read_changes('op', 0, wait_s=5, answer_s=1)
    )
    await asyncio.sleep(0.05)
    store.put('op', 'config', b'y')
    changes = (await pending_call).unwrap()
    assert [(row.key, row.content) for row in changes.rows] == [
        ('config', b'y')
    ]


async def test_removed_row_is_marked(store_and_client: StoreAndClient) -> None:
    store, client = store_and_client
    store.put('op', 'a', b'')
    store.remove('op', 'a')
    changes = (
        await client.read_changes('op', 1, wait_s=0, answer_s=1)
    ).unwrap()
    assert changes.rows[0].is_removed


async def test_write_and_removal(store_and_client: StoreAndClient) -> None:
    store, client = store_and_client
    (await client.write(RowWrite('hosts', 'h1', b'here'))).unwrap()
    changes = (await store.read_table('hosts')).unwrap()
    assert changes.rows[0].content == b'here'
    (await client.write(RowWrite('hosts', 'h1'))).unwrap()
    assert not (await store.read_table('hosts')).unwrap().rows


async def test_several_rows_are_written_in_one_call(
    store_and_client: StoreAndClient,
) -> None:
    store, client = store_and_client
    store.put('crashes', 'old', b'x')
    (
        await client.write(
            RowWrite('crashes', 'a', b'1'),
            RowWrite('crashes', 'old'),
            RowWrite('crashes', 'b', b'2'),
        )
    ).unwrap()
    rows = (await store.read_table('crashes')).unwrap().rows
    assert [(row.key, row.content) for row in rows] == [
        ('a', b'1'),
        ('b', b'2'),
    ]


async def test_lost_history_and_refusal_are_different_errors(
    store_and_client: StoreAndClient,
) -> None:
    store, client = store_and_client
    store.put('op', 'a', b'')
    store.forget_history()
    lost = await client.read_changes('op', 0, wait_s=0, answer_s=1)
    assert isinstance(lost.unwrap_err(), HistoryLostError)
    store.faults.is_down = True
    refused = await client.read_changes('op', 1, wait_s=0, answer_s=1)
    assert isinstance(refused.unwrap_err(), FeedRefusedError)


async def test_call_to_an_unresponsive_store_times_out(
    store_and_client: StoreAndClient,
) -> None:
    store, client = store_and_client
    store.faults.is_silent = True
    async with asyncio.timeout(3):
        answer = await client.read_changes('op', 0, wait_s=0.1, answer_s=1)
    assert isinstance(answer.unwrap_err(), FeedUnreachableError)


async def test_closed_port_is_unreachable() -> None:
    client = RowStoreClient('127.0.0.1:1')
    answer = await client.read_table('op')
    assert isinstance(answer.unwrap_err(), FeedUnreachableError)
    await client.close()
