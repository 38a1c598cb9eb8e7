"""Changes against faults of the store, of writers and of operators."""

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
    describe_change,
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


class _LatePlatform(MemoryPlatform):
    """Keeps the first transaction of a change back and answers unknown."""

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
    def __init__(self, noted: int = 0) -> None:
        self.noted = noted
        self.heard: list[Announcement] = []
        self.meanwhile: Callable[[], Awaitable[object]] | None = None

    async def announce(
        self,
        announcement: Announcement,
        witnesses: tuple[Witness, ...],
    ) -> frozenset[str]:
        self.heard.append(announcement)
        if self.meanwhile is not None:
            await self.meanwhile()
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


async def test_lost_answer_is_resolved() -> None:
    store = MemoryPlatform()
    store.switches.lost_answers = 1
    accepted = await _create(store).propose(_request(), _EMPTY)
    assert accepted.unwrap().revision == 1


async def test_delayed_write_never_takes_effect_twice() -> None:
    store = _LatePlatform()
    accepted = (await _create(store).propose(_request(), _EMPTY)).unwrap()
    late = await MemoryPlatform.transact(store, store.late)
    assert isinstance(late.unwrap_err(), StoreConflictError)
    assert (await _create(store).read_changes(0)).unwrap() == (accepted,)


async def test_unknown_outcome_is_said_while_the_store_is_gone() -> None:
    store = _LatePlatform()
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


async def test_later_operator_sees_the_other_change() -> None:
    store = MemoryPlatform()
    await _create(store).propose(_request(), _EMPTY)
    outcome = await _create(store).propose(_request('c2'), _EMPTY)
    error = outcome.unwrap_err()
    assert isinstance(error, RevisionConflictError)
    assert (error.author, error.actual) == ('mina', 1)
    assert [edit.name for edit in error.edits] == ['verify']


async def test_operators_race_between_announcement_and_write() -> None:
    store = MemoryPlatform()
    held = await _name_witnesses(store)
    first = _Announcer(noted=2)
    second = Repository(store, ManualClock(), _Announcer(noted=2))
    rival = _request('c2', 1, 'omar', 'ledger')
    first.meanwhile = lambda: second.propose(rival, held)
    outcome = await Repository(store, ManualClock(), first).propose(
        _request('c1', 1),
        held,
    )
    error = outcome.unwrap_err()
    assert isinstance(error, RevisionConflictError)
    assert error.author == 'omar'


async def test_minority_of_witnesses_writes_nothing() -> None:
    store = MemoryPlatform()
    held = await _name_witnesses(store)
    repository = Repository(store, ManualClock(), _Announcer(noted=1))
    outcome = await repository.propose(_request('c1', 1), held)
    assert outcome.unwrap_err() == MissingQuorumError('c1', 1, 2)
    assert (await repository.read_head()).unwrap().revision == 1


async def test_destroyed_majority_does_not_block_changes() -> None:
    store = MemoryPlatform()
    held = await _name_witnesses(store)
    repository = Repository(store, ManualClock(), _Announcer(noted=1))
    for destroyed, is_accepted in (({'a'}, False), ({'b', 'c'}, True)):
        request = replace(
            _request('c1', 1),
            destroyed=frozenset(destroyed),
        )
        outcome = await repository.propose(request, held)
        assert outcome.is_ok() == is_accepted, destroyed


async def test_fence_meanwhile_is_announced_again() -> None:
    store = MemoryPlatform()
    held = await _name_witnesses(store)
    announcer = _Announcer(noted=3)

    async def fence_once() -> None:
        announcer.meanwhile = None
        await _create(store).fence()

    announcer.meanwhile = fence_once
    repository = Repository(store, ManualClock(), announcer)
    assert (await repository.propose(_request('c1', 1), held)).is_ok()
    bases = [heard.base for heard in announcer.heard]
    assert bases == [1, 2]


async def test_fences_for_ever_end_typed() -> None:
    store = MemoryPlatform()
    held = await _name_witnesses(store)
    announcer = _Announcer(noted=3)
    announcer.meanwhile = _create(store).fence
    repository = Repository(store, ManualClock(), announcer)
    outcome = await repository.propose(_request('c1', 1), held)
    assert outcome.unwrap_err() == BusyHeadError('c1')


async def test_change_id_of_another_change_is_refused() -> None:
    store = MemoryPlatform()
    repository = _create(store)
    await repository.propose(_request(), _EMPTY)
    same = await repository.propose(_request(), _EMPTY)
    assert same.is_ok()
    for other in (_request(name='ledger'), _request(author='omar')):
        outcome = await repository.propose(other, _EMPTY)
        assert outcome.unwrap_err() == ReusedChangeIdError('c1', 1, 'mina')


async def test_store_set_back_is_no_conflict_of_operators() -> None:
    store = MemoryPlatform()
    change = (await _create(store).propose(_request(), _EMPTY)).unwrap()
    held = apply_change(_EMPTY, change).unwrap()
    outcome = await _create(MemoryPlatform()).propose(
        _request('c2', expected=1, name='ledger'),
        held,
    )
    assert outcome.unwrap_err() == DivergedHistoryError(1, 0)


async def test_damaged_records_are_typed() -> None:
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


async def test_announcement_names_what_may_be_withdrawn() -> None:
    store = MemoryPlatform()
    await _name_witnesses(store)
    change = (await _create(store).read_changes(0)).unwrap()[0]
    announcement = describe_change(change, base=7)
    assert announcement.moves_witnesses
    assert announcement.base == 7
