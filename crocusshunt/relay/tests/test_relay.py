"""The table service through another process's socket."""

from collections.abc import AsyncIterator

import pytest
from result import Ok

from crocusshunt.messages import Handlers, Replier, RequesterPool
from crocusshunt.relay import RelayedTables, RelaySettings, register_relay
from crocusshunt.standin import MemoryPlatform
from crocusshunt.store import (
    ABSENT,
    Query,
    StoreConflictError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
    Write,
)

_DEAD_SOURCE = 'tcp://127.0.0.1:9'
_WRITE = Write('limit-lease', 'court', 'held', ABSENT)


class _Site:
    def __init__(self) -> None:
        self.platform = MemoryPlatform()
        handlers = Handlers()
        register_relay(handlers, self.platform)
        self.replier = Replier('tcp://127.0.0.1:0', handlers)
        self.requesters = RequesterPool()

    def create_tables(self, *sources: str) -> RelayedTables:
        settings = RelaySettings(sources or (self.replier.address,), 0.3)
        return RelayedTables(settings, self.requesters)


@pytest.fixture
async def site() -> AsyncIterator[_Site]:
    started = _Site()
    await started.replier.start()
    yield started
    started.requesters.close()
    await started.replier.stop()


async def test_rows_cross(site: _Site) -> None:
    tables = site.create_tables()
    assert await tables.transact((_WRITE,)) == Ok(None)
    row = (await tables.read('limit-lease', 'court')).unwrap()
    assert row is not None
    assert (row.version, row.body) == (1, 'held')
    assert await tables.query(Query('limit-lease')) == Ok((row,))
    assert await tables.read('limit-lease', 'other') == Ok(None)


async def test_conflict_shows_version(site: _Site) -> None:
    tables = site.create_tables()
    await tables.transact((_WRITE,))
    refused = await tables.transact((_WRITE,))
    expected = StoreConflictError('limit-lease', 'court', 1)
    assert refused.unwrap_err() == expected


async def test_configuration_is_not_writable(site: _Site) -> None:
    write = Write('configuration-head', 'head', '{}')
    refused = await site.create_tables().transact((write,))
    assert isinstance(refused.unwrap_err(), StoreUnavailableError)
    assert await site.platform.read('configuration-head', 'head') == Ok(None)


async def test_store_down_is_not_unknown(site: _Site) -> None:
    site.platform.switches.is_down = True
    refused = await site.create_tables().transact((_WRITE,))
    assert isinstance(refused.unwrap_err(), StoreUnavailableError)


async def test_lost_answer_is_unknown(site: _Site) -> None:
    site.platform.switches.lost_answers = 1
    refused = await site.create_tables().transact((_WRITE,))
    assert isinstance(refused.unwrap_err(), StoreUnknownOutcomeError)


async def test_transaction_is_not_repeated_elsewhere(site: _Site) -> None:
    tables = site.create_tables(_DEAD_SOURCE, site.replier.address)
    refused = await tables.transact((_WRITE,))
    assert isinstance(refused.unwrap_err(), StoreUnknownOutcomeError)
    assert await site.platform.read('limit-lease', 'court') == Ok(None)


async def test_read_moves_to_the_next_source(site: _Site) -> None:
    await site.platform.transact((_WRITE,))
    tables = site.create_tables(_DEAD_SOURCE, site.replier.address)
    row = (await tables.read('limit-lease', 'court')).unwrap()
    assert row is not None
