"""Starting hosts, snapshots and damaged objects."""

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
from crocusshunt.replication import SNAPSHOT_NAME, Archive, Feed, StorePoller
from crocusshunt.routing import Pool
from crocusshunt.standin import MemoryPlatform

_CHANGES = 5
_SNAPSHOT_AT = 4


async def _fill(store: MemoryPlatform) -> tuple[Configuration, ...]:
    repository = Repository(store, ManualClock())
    held = [Configuration()]
    for number in range(_CHANGES):
        name = f'pool-{number}'
        edit = EditRequest('pool', name, encode_row(Pool(name)))
        request = ChangeRequest(f'c{number}', number, 'mina', 'test', (edit,))
        change = (await repository.propose(request, held[-1])).unwrap()
        held.append(apply_change(held[-1], change).unwrap())
    return tuple(held)


async def _start(store: MemoryPlatform) -> Feed:
    clock = ManualClock()
    repository = Repository(store, clock)
    feed = Feed(clock)
    archive = Archive(store, repository)
    assert await StorePoller(repository, feed, clock, archive=archive).poll()
    return feed


async def test_start_reads_the_snapshot_and_the_rest() -> None:
    store = MemoryPlatform()
    held = await _fill(store)
    archive = Archive(store, Repository(store, ManualClock()))
    (await archive.save(held[_SNAPSHOT_AT])).unwrap()
    feed = await _start(store)
    assert feed.configuration == held[-1]
    # Changes before the snapshot were not read.
    assert isinstance(await feed.answer(FetchChanges(1)), SnapshotFeed)
    after = await feed.answer(FetchChanges(_SNAPSHOT_AT))
    assert isinstance(after, ChangeFeed)


@pytest.mark.parametrize('kind', ['cut', 'flipped', 'empty', 'foreign'])
async def test_damaged_snapshot_is_refused_and_the_log_used(kind: str) -> None:
    store = MemoryPlatform()
    held = await _fill(store)
    good = encode_snapshot(held[_SNAPSHOT_AT])
    other = Configuration(2, 'f' * 64, held[2].tables)
    damaged = {
        'cut': good[:-20],
        'flipped': good.replace(b'pool-1', b'pool-9'),
        'empty': b'',
        'foreign': encode_snapshot(other),
    }
    await store.put_object(SNAPSHOT_NAME, damaged[kind])
    archive = Archive(store, Repository(store, ManualClock()))
    assert (await archive.load()).unwrap_err().code == 'snapshot-damaged'
    assert (await _start(store)).configuration == held[-1]


async def test_every_truncation_is_refused() -> None:
    good = encode_snapshot((await _fill(MemoryPlatform()))[-1])
    assert decode_snapshot(good).is_ok()
    cuts = (good[:length] for length in range(len(good)))
    assert all(decode_snapshot(cut).is_err() for cut in cuts)


async def test_snapshot_ahead_of_a_lagging_head_is_no_fault() -> None:
    store = MemoryPlatform()
    held = await _fill(store)
    archive = Archive(store, Repository(store, ManualClock()))
    (await archive.save(held[-1])).unwrap()
    assert (await _start(store)).configuration == held[-1]


async def test_store_down_is_said() -> None:
    store = MemoryPlatform()
    store.switches.is_down = True
    archive = Archive(store, Repository(store, ManualClock()))
    assert (await archive.load()).unwrap_err().code == 'store-unavailable'
