"""Proposals under store faults, concurrent writers and repeated requests."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from result import Err, Result

from crocusshunt.configuration import (
    BusyHeadError,
    Change,
    ChangeRequest,
    Configuration,
    DivergedHistoryError,
    EditRequest,
    MissingQuorumError,
    Repository,
    ReusedChangeIdError,
    RevisionConflictError,
    UnknownOutcomeError,
    UnreachableStoreError,
    apply_change,
    build_announcement,
    encode_row,
)
from crocusshunt.core import ManualClock
from crocusshunt.routing import FailureDomain, Pool
from crocusshunt.standin import MemoryPlatform
from crocusshunt.store import (
    StoreConflictError,
    StoreDamagedAnswerError,
    StoreError,
    StoreUnknownOutcomeError,
    Write,
)
from crocusshunt.witnesses import Announcement, Witness

_EMPTY = Configuration()


def _request(
    change_id: str = 'c1',
    expected: int = 0,
    author: str = 'mina',
    name: str = 'verify',
) -> ChangeRequest:
    edit = EditRequest('pool', name, encode_row(Pool(name)))
    return ChangeRequest(change_id, expected, author, 'test', (edit,))


def _create(store: MemoryPlatform) -> Repository:
    return Repository(store, ManualClock())


class _DelayingPlatform(MemoryPlatform):
    """Delays the first change's write and reports an unknown outcome."""

    late: tuple[Write, ...] = ()

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        if len(writes) > 1 and not self.late:
            self.late = writes
            return Err(StoreUnknownOutcomeError('slow'))
        return await super().transact(writes)


class _Announcer:
    """Acknowledges as many witnesses as ``noted`` says.

    ``before_reply``, if set, is called between announcement and write.
    """

    def __init__(self, noted: int = 0) -> None:
        self.noted = noted
        self.received: list[Announcement] = []
        self.before_reply: Callable[[], Awaitable[object]] | None = None

    async def announce(
        self,
        announcement: Announcement,
        witnesses: tuple[Witness, ...],
    ) -> frozenset[str]:
        self.received.append(announcement)
        if self.before_reply is not None:
            await self.before_reply()
        return frozenset(one.name for one in witnesses[: self.noted])


async def _name_witnesses(store: MemoryPlatform) -> Configuration:
    rows = [
        Witness(name, f'tcp://127.0.0.1:{port}', 'addis', 'addis-a')
        for port, name in enumerate(('a', 'b', 'c'), start=1)
    ]
    edits = [EditRequest('witness', row.name, encode_row(row)) for row in rows]
    domain = FailureDomain('addis-a', 'addis')
    edits.append(
        EditRequest('failure_domain', domain.name, encode_row(domain)),
    )
    request = ChangeRequest('c0', 0, 'mina', 'witnesses', tuple(edits))
    change = (await _create(store).propose(request, _EMPTY)).unwrap()
    return apply_change(_EMPTY, change).unwrap()


async def test_lost_answer_of_written_change_is_accepted() -> None:
    store = MemoryPlatform()
    store.switches.lost_answers = 1
    accepted = await _create(store).propose(_request(), _EMPTY)
    assert accepted.unwrap().revision == 1


async def test_delayed_write_takes_effect_once() -> None:
    store = _DelayingPlatform()
    accepted = (await _create(store).propose(_request(), _EMPTY)).unwrap()
    late = await MemoryPlatform.transact(store, store.late)
    assert isinstance(late.unwrap_err(), StoreConflictError)
    assert (await _create(store).read_changes(0)).unwrap() == (accepted,)


async def test_unknown_outcome_is_reported_while_store_is_down() -> None:
    store = _DelayingPlatform()
    repository = _create(store)
    find_change = repository.find_change

    async def fail_later(
        change_id: str,
    ) -> Result[Change | None, StoreError]:
        store.switches.is_down = bool(store.late)
        return await find_change(change_id)

    repository.find_change = fail_later  # type: ignore[method-assign]
    outcome = await repository.propose(_request(), _EMPTY)
    assert outcome.unwrap_err() == UnknownOutcomeError('c1')
    store.switches.is_down = False
    await MemoryPlatform.transact(store, store.late)
    again = await _create(store).propose(_request(), _EMPTY)
    assert again.unwrap().change_id == 'c1'


async def test_store_down_writes_nothing() -> None:
    store = MemoryPlatform()
    store.switches.is_down = True
    outcome = await _create(store).propose(_request(), _EMPTY)
    assert outcome.unwrap_err() == UnreachableStoreError('c1')


async def test_conflict_names_the_change_accepted_first() -> None:
    store = MemoryPlatform()
    await _create(store).propose(_request(), _EMPTY)
    outcome = await _create(store).propose(_request('c2'), _EMPTY)
    error = outcome.unwrap_err()
    assert isinstance(error, RevisionConflictError)
    assert (error.author, error.actual) == ('mina', 1)
    assert [edit.name for edit in error.edits] == ['verify']


async def test_conflict_between_announcement_and_write() -> None:
    store = MemoryPlatform()
    current = await _name_witnesses(store)
    first = _Announcer(noted=2)
    second = Repository(store, ManualClock(), _Announcer(noted=2))
    rival = _request('c2', 1, 'omar', 'ledger')
    first.before_reply = lambda: second.propose(rival, current)
    outcome = await Repository(store, ManualClock(), first).propose(
        _request('c1', 1),
        current,
    )
    error = outcome.unwrap_err()
    assert isinstance(error, RevisionConflictError)
    assert error.author == 'omar'


async def test_minority_acknowledgement_writes_nothing() -> None:
    store = MemoryPlatform()
    current = await _name_witnesses(store)
    repository = Repository(store, ManualClock(), _Announcer(noted=1))
    outcome = await repository.propose(_request('c1', 1), current)
    assert outcome.unwrap_err() == MissingQuorumError('c1', 1, 2)
    assert (await repository.read_head()).unwrap().revision == 1


async def test_destroyed_majority_does_not_block_changes() -> None:
    store = MemoryPlatform()
    current = await _name_witnesses(store)
    repository = Repository(store, ManualClock(), _Announcer(noted=1))
    for destroyed, is_accepted in (({'a'}, False), ({'b', 'c'}, True)):
        request = replace(
            _request('c1', 1),
            destroyed=frozenset(destroyed),
        )
        outcome = await repository.propose(request, current)
        assert outcome.is_ok() == is_accepted, destroyed


async def test_change_is_announced_again_after_a_fence() -> None:
    store = MemoryPlatform()
    current = await _name_witnesses(store)
    announcer = _Announcer(noted=3)

    async def fence_once() -> None:
        announcer.before_reply = None
        await _create(store).fence()

    announcer.before_reply = fence_once
    repository = Repository(store, ManualClock(), announcer)
    assert (await repository.propose(_request('c1', 1), current)).is_ok()
    bases = [announcement.base for announcement in announcer.received]
    assert bases == [1, 2]


async def test_constant_fencing_ends_with_an_error() -> None:
    store = MemoryPlatform()
    current = await _name_witnesses(store)
    announcer = _Announcer(noted=3)
    announcer.before_reply = _create(store).fence
    repository = Repository(store, ManualClock(), announcer)
    outcome = await repository.propose(_request('c1', 1), current)
    assert outcome.unwrap_err() == BusyHeadError('c1')


async def test_reused_change_id_is_refused() -> None:
    store = MemoryPlatform()
    repository = _create(store)
    await repository.propose(_request(), _EMPTY)
    same = await repository.propose(_request(), _EMPTY)
    assert same.is_ok()
    for other in (_request(name='ledger'), _request(author='omar')):
        outcome = await repository.propose(other, _EMPTY)
        assert outcome.unwrap_err() == ReusedChangeIdError('c1', 1, 'mina')


async def test_older_store_is_not_a_revision_conflict() -> None:
    store = MemoryPlatform()
    change = (await _create(store).propose(_request(), _EMPTY)).unwrap()
    current = apply_change(_EMPTY, change).unwrap()
    outcome = await _create(MemoryPlatform()).propose(
        _request('c2', expected=1, name='ledger'),
        current,
    )
    assert outcome.unwrap_err() == DivergedHistoryError(1, 0)


async def test_damaged_records_are_reported() -> None:
    for table, key in (
        ('configuration-head', 'head'),
        ('configuration-change', '000000000001'),
    ):
        store = MemoryPlatform()
        await store.transact((Write(table, key, '{"revision":"x"}'),))
        repository = _create(store)
        head = await repository.read_head()
        changes = await repository.read_changes(0)
        found = head.err() or changes.err()
        assert isinstance(found, StoreDamagedAnswerError)


async def test_announcement_flags_witness_changes() -> None:
    store = MemoryPlatform()
    await _name_witnesses(store)
    change = (await _create(store).read_changes(0)).unwrap()[0]
    announcement = build_announcement(change, base=7)
    assert announcement.moves_witnesses
    assert announcement.base == 7
