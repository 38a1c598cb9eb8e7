"""Access to the table service through the socket of another process."""

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


class _Deployment:
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
async def deployment() -> AsyncIterator[_Deployment]:
    started = _Deployment()
    await started.replier.start()
    yield started
    started.requesters.close()
    await started.replier.stop()


async def test_rows_are_written_and_read(deployment: _Deployment) -> None:
    tables = deployment.create_tables()
    assert await tables.transact((_WRITE,)) == Ok(None)
    row = (await tables.read('limit-lease', 'court')).unwrap()
    assert row is not None
    assert (row.version, row.body) == (1, 'held')
    assert await tables.query(Query('limit-lease')) == Ok((row,))
    assert await tables.read('limit-lease', 'other') == Ok(None)


async def test_conflict_reports_the_stored_version(
    deployment: _Deployment,
) -> None:
    tables = deployment.create_tables()
    await tables.transact((_WRITE,))
    refused = await tables.transact((_WRITE,))
    expected = StoreConflictError('limit-lease', 'court', 1)
    assert refused.unwrap_err() == expected


async def test_configuration_tables_are_not_writable(
    deployment: _Deployment,
) -> None:
    write = Write('configuration-head', 'head', '{}')
    refused = await deployment.create_tables().transact((write,))
    assert isinstance(refused.unwrap_err(), StoreUnavailableError)
    assert await deployment.platform.read('configuration-head', 'head') == Ok(
        None
    )


async def test_store_down_is_not_an_unknown_outcome(
    deployment: _Deployment,
) -> None:
    deployment.platform.switches.is_down = True
    refused = await deployment.create_tables().transact((_WRITE,))
    assert isinstance(refused.unwrap_err(), StoreUnavailableError)


async def test_lost_answer_is_an_unknown_outcome(
    deployment: _Deployment,
) -> None:
    deployment.platform.switches.lost_answers = 1
    refused = await deployment.create_tables().transact((_WRITE,))
    assert isinstance(refused.unwrap_err(), StoreUnknownOutcomeError)


async def test_transaction_is_not_sent_to_another_source(
    deployment: _Deployment,
) -> None:
    tables = deployment.create_tables(_DEAD_SOURCE, deployment.replier.address)
    refused = await tables.transact((_WRITE,))
    assert isinstance(refused.unwrap_err(), StoreUnknownOutcomeError)
    assert await deployment.platform.read('limit-lease', 'court') == Ok(None)


async def test_read_moves_to_the_next_source(deployment: _Deployment) -> None:
    await deployment.platform.transact((_WRITE,))
    tables = deployment.create_tables(_DEAD_SOURCE, deployment.replier.address)
    row = (await tables.read('limit-lease', 'court')).unwrap()
    assert row is not None
