"""Tests of starting a host from a snapshot, intact or damaged."""

import pytest

from crocusshunt.configuration import (
    ChangeRequest,
    Configuration,
    EditRequest,
    Repository,
    apply_change,
    decode_snapshot,
    encode_row,
    encode_snapshot,
)
from crocusshunt.core import ManualClock
from crocusshunt.messages import ChangeFeed, FetchChanges, SnapshotFeed
from crocusshunt.replication import (
    SNAPSHOT_NAME,
    Feed,
    SnapshotArchive,
    StorePoller,
)
from crocusshunt.routing import Pool
from crocusshunt.standin import MemoryPlatform

_CHANGE_COUNT = 5
_SNAPSHOT_REVISION = 4


async def _write_changes(store: MemoryPlatform) -> tuple[Configuration, ...]:
    """Write all changes; return the configuration of each revision."""
    repository = Repository(store, ManualClock())
    configurations = [Configuration()]
    for number in range(_CHANGE_COUNT):
        name = f'pool-{number}'
        edit = EditRequest('pool', name, encode_row(Pool(name)))
        request = ChangeRequest(f'c{number}', number, 'mina', 'test', (edit,))
        change = (
            await repository.propose(request, configurations[-1])
        ).unwrap()
        configurations.append(
            apply_change(configurations[-1], change).unwrap(),
        )
    return tuple(configurations)


async def _start_feed(store: MemoryPlatform) -> Feed:
    clock = ManualClock()
    repository = Repository(store, clock)
    feed = Feed(clock)
    archive = SnapshotArchive(store, repository)
    assert await StorePoller(repository, feed, clock, archive=archive).poll()
    return feed


async def test_start_reads_snapshot_and_later_changes() -> None:
    store = MemoryPlatform()
    configurations = await _write_changes(store)
    archive = SnapshotArchive(store, Repository(store, ManualClock()))
    (await archive.save(configurations[_SNAPSHOT_REVISION])).unwrap()
    feed = await _start_feed(store)
    assert feed.configuration == configurations[-1]
    # The feed can't provide changes before the snapshot: it didn't read them.
    assert isinstance(await feed.answer(FetchChanges(1)), SnapshotFeed)
    after = await feed.answer(FetchChanges(_SNAPSHOT_REVISION))
    assert isinstance(after, ChangeFeed)


@pytest.mark.parametrize('kind', ['cut', 'altered', 'empty', 'foreign'])
async def test_start_without_snapshot_if_it_is_damaged(
    kind: str,
) -> None:
    store = MemoryPlatform()
    configurations = await _write_changes(store)
    good = encode_snapshot(configurations[_SNAPSHOT_REVISION])
    other = Configuration(2, 'f' * 64, configurations[2].tables)
    damaged = {
        'cut': good[:-20],
        'altered': good.replace(b'pool-1', b'pool-9'),
        'empty': b'',
        'foreign': encode_snapshot(other),
    }
    await store.put_object(SNAPSHOT_NAME, damaged[kind])
    archive = SnapshotArchive(store, Repository(store, ManualClock()))
    assert (await archive.load()).unwrap_err().code == 'snapshot-damaged'
    assert (await _start_feed(store)).configuration == configurations[-1]


async def test_truncated_snapshot_is_refused() -> None:
    good = encode_snapshot((await _write_changes(MemoryPlatform()))[-1])
    assert decode_snapshot(good).is_ok()
    cuts = (good[:length] for length in range(len(good)))
    assert all(decode_snapshot(cut).is_err() for cut in cuts)


async def test_start_from_snapshot_of_the_newest_revision() -> None:
    """A snapshot as new as the head, or newer, leaves no change to read."""
    store = MemoryPlatform()
    configurations = await _write_changes(store)
    archive = SnapshotArchive(store, Repository(store, ManualClock()))
    (await archive.save(configurations[-1])).unwrap()
    assert (await _start_feed(store)).configuration == configurations[-1]


async def test_store_outage_is_reported() -> None:
    store = MemoryPlatform()
    store.switches.is_down = True
    archive = SnapshotArchive(store, Repository(store, ManualClock()))
    assert (await archive.load()).unwrap_err().code == 'store-unavailable'
