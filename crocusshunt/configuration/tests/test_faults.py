"""Random store faults, with fixed seeds.

Guards against a change that is written twice, a change reported as accepted
that is missing, and a change reported as refused that was written.
"""

import random
from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from crocusshunt.configuration import (
    Change,
    ChangeRequest,
    Configuration,
    EditRequest,
    ProposalError,
    Repository,
    UnknownOutcomeError,
    apply_change,
    encode_row,
)
from crocusshunt.core import ManualClock
from crocusshunt.routing import Pool
from crocusshunt.standin import MemoryPlatform
from crocusshunt.store import (
    Query,
    StoredRow,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
    Write,
)

_ROUNDS = 25
_FAULTS = ('lost', 'late', 'down', 'unread', 'fence')


class _FaultyPlatform(MemoryPlatform):
    """A table service that injects each fault with a probability of 1/4.

    :param source: random source that decides about each fault.
    :param faults: ``lost``: the answer to a write is lost; ``late``: a write
        is delayed and its outcome unknown; ``down``: writes fail;
        ``unread``: reads fail; ``fence``: another process fences the head
        just before a change is written.
    """

    def __init__(self, source: random.Random, faults: tuple[str, ...]) -> None:
        super().__init__()
        self.late: list[tuple[Write, ...]] = []
        self._source = source
        self._faults = faults

    async def read(
        self,
        table: str,
        key: str,
    ) -> Result[StoredRow | None, StoreError]:
        if self._should_inject('unread'):
            return Err(StoreUnknownOutcomeError('read'))
        return await super().read(table, key)

    async def query(
        self,
        query: Query,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        if self._should_inject('unread'):
            return Err(StoreUnavailableError('query'))
        return await super().query(query)

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        if self._should_inject('down'):
            return Err(StoreUnavailableError('down'))
        if self._should_inject('late'):
            self.late.append(writes)
            return Err(StoreUnknownOutcomeError('late'))
        if len(writes) > 1 and self._should_inject('fence'):
            await self.fence()
        written = await super().transact(writes)
        if isinstance(written, Ok) and self._should_inject('lost'):
            return Err(StoreUnknownOutcomeError('lost'))
        return written

    async def deliver_late(self) -> None:
        while self.late and self._source.randrange(2):
            writes = self.late.pop(self._source.randrange(len(self.late)))
            await MemoryPlatform.transact(self, writes)

    async def fence(self) -> None:
        row = (await MemoryPlatform.read(self, *_HEAD)).unwrap()
        if row is not None:
            write = Write(*_HEAD, row.body, row.version)
            await MemoryPlatform.transact(self, (write,))

    def stop_faults(self) -> None:
        self._faults = ()

    def _should_inject(self, fault: str) -> bool:
        return fault in self._faults and not self._source.randrange(4)


_HEAD = ('configuration-head', 'head')


@dataclass
class _ObservedOutcomes:
    """Change ids that were reported as accepted or as refused."""

    accepted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)

    def record(
        self,
        change_id: str,
        outcome: Result[Change, ProposalError],
    ) -> None:
        if isinstance(outcome, Ok):
            self.accepted.add(change_id)
            self.refused.discard(change_id)
        elif not isinstance(outcome.err_value, UnknownOutcomeError):
            self.refused.add(change_id)


async def _read_all(store: MemoryPlatform) -> tuple[Change, ...]:
    rows = await MemoryPlatform.query(store, Query('configuration-change'))
    platform = MemoryPlatform()
    for row in rows.unwrap():
        await platform.transact((Write(row.table, row.key, row.body),))
    repository = Repository(platform, ManualClock())
    return (await repository.read_changes(0)).unwrap()


def _apply(changes: tuple[Change, ...]) -> Configuration:
    current = Configuration()
    for change in changes:
        current = apply_change(current, change).unwrap()
    return current


def _request(change_id: str, expected: int, author: str) -> ChangeRequest:
    row = Pool(f'pool-{change_id}')
    edit = EditRequest('pool', row.name, encode_row(row))
    return ChangeRequest(change_id, expected, author, 'test', (edit,))


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('first', _FAULTS)
@pytest.mark.parametrize('second', _FAULTS)
async def test_outcomes_match_store_under_two_faults(
    first: str, second: str, seed: int
) -> None:
    store = _FaultyPlatform(random.Random(seed), (first, second))
    repository = Repository(store, ManualClock())
    observed = _ObservedOutcomes()
    for number in range(_ROUNDS):
        current = _apply(await _read_all(store))
        for author in ('mina', 'omar'):
            change_id = f'{author}-{number}'
            request = _request(change_id, current.revision, author)
            outcome = await repository.propose(request, current)
            observed.record(change_id, outcome)
            await store.deliver_late()
    store.stop_faults()
    while store.late:
        await store.deliver_late()
    written = [change.change_id for change in await _read_all(store)]
    assert len(written) == len(set(written))
    assert observed.accepted <= set(written)
    assert not observed.refused & set(written)
