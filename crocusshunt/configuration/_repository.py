"""The configuration in the platform's table service."""

from result import Err, Ok, Result

from crocusshunt.configuration._announcing import (
    Announcer,
    count_quorum,
    describe_change,
)
from crocusshunt.configuration._changes import Change, Configuration
from crocusshunt.configuration._errors import (
    BusyHeadError,
    DivergedHistoryError,
    MissingQuorumError,
    ProposalError,
    ReusedChangeIdError,
    RevisionConflictError,
    UnknownOutcomeError,
    UnreachableStoreError,
)
from crocusshunt.configuration._records import (
    CHANGE_IDS,
    CHANGES,
    HEAD_KEY,
    HEADS,
    Head,
    decode_changes,
    decode_head,
    format_revision,
    plan_head,
    plan_writes,
)
from crocusshunt.configuration._requests import (
    ChangeRequest,
    is_same_change,
    prepare_change,
)
from crocusshunt.core import Clock
from crocusshunt.store import (
    Query,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
    TableStore,
)
from crocusshunt.witnesses import Witness

_MAX_WRITES = 3


class Repository:
    """Reads and conditionally extends the chain of changes."""

    def __init__(
        self,
        store: TableStore,
        clock: Clock,
        announcer: Announcer | None = None,
    ) -> None:
        """Use a table service.

        :param announcer: tells the witnesses of each change; without it no
            change is accepted once the configuration names witnesses.
        """
        self._store = store
        self._clock = clock
        self._announcer = announcer

    async def read_head(self) -> Result[Head, StoreError]:
        """Return the newest revision."""
        row = await self._store.read(HEADS, HEAD_KEY)
        return row.and_then(decode_head)

    async def read_changes(
        self,
        after: int,
    ) -> Result[tuple[Change, ...], StoreError]:
        """Return a page of the changes after a revision, oldest first."""
        rows = await self._store.query(Query(CHANGES, format_revision(after)))
        return rows.and_then(decode_changes)

    async def find_change(
        self,
        change_id: str,
    ) -> Result[Change | None, StoreError]:
        """Return the accepted change of an id, None where there is none."""
        pointer = await self._store.read(CHANGE_IDS, change_id)
        if isinstance(pointer, Err):
            return pointer
        if pointer.ok_value is None:
            return Ok(None)
        return await self._read_change(pointer.ok_value.body)

    async def read_change(
        self,
        revision: int,
    ) -> Result[Change | None, StoreError]:
        """Return the change of a revision, None where there is none."""
        return await self._read_change(format_revision(revision))

    async def fence(self) -> Result[Head, StoreError]:
        """Rewrite the head row unchanged and return its new version.

        Every write that was prepared against an older version is settled
        then: it took effect before, or it never does.
        """
        before = await self.read_head()
        if isinstance(before, Err):
            return before
        await self._store.transact((plan_head(before.ok_value),))
        after = await self.read_head()
        if isinstance(after, Err):
            return after
        if after.ok_value.version > before.ok_value.version:
            return after
        return Err(StoreUnknownOutcomeError('the head row was not rewritten'))

    async def propose(
        self,
        request: ChangeRequest,
        held: Configuration,
    ) -> Result[Change, ProposalError]:
        """Check and write a change.

        :param held: the configuration of the newest revision, against
            which the change is checked.
        """
        for _ in range(_MAX_WRITES):
            ended = await self._find_end(request)
            if ended is not None:
                return ended
            head = await self.read_head()
            if isinstance(head, Err):
                return Err(UnreachableStoreError(request.change_id))
            refused = await self._check_head(request, held, head.ok_value)
            if refused is not None:
                return Err(refused)
            ended = await self._write(request, held, head.ok_value)
            if ended is not None:
                return ended
        return Err(BusyHeadError(request.change_id))

    async def _read_change(
        self,
        key: str,
    ) -> Result[Change | None, StoreError]:
        row = await self._store.read(CHANGES, key)
        if isinstance(row, Err):
            return row
        found = () if row.ok_value is None else (row.ok_value,)
        changes = decode_changes(found)
        return changes.map(lambda read: read[0] if read else None)

    async def _find_end(
        self,
        request: ChangeRequest,
    ) -> Result[Change, ProposalError] | None:
        """Return the outcome of a change id that was accepted before."""
        known = await self.find_change(request.change_id)
        if isinstance(known, Err):
            return Err(UnreachableStoreError(request.change_id))
        change = known.ok_value
        if change is None:
            return None
        if is_same_change(request, change):
            return Ok(change)
        return Err(
            ReusedChangeIdError(
                change.change_id,
                change.revision,
                change.author,
            ),
        )

    async def _check_head(
        self,
        request: ChangeRequest,
        held: Configuration,
        head: Head,
    ) -> ProposalError | None:
        if head.revision > request.expected:
            return await self._explain_conflict(request, head)
        if held.revision < head.revision:
            return UnreachableStoreError(request.change_id)
        if held.digest != head.digest:
            return DivergedHistoryError(held.revision, head.revision)
        if head.revision != request.expected:
            return await self._explain_conflict(request, head)
        return None

    async def _write(
        self,
        request: ChangeRequest,
        held: Configuration,
        head: Head,
    ) -> Result[Change, ProposalError] | None:
        """Announce and write; None where nothing was written for sure."""
        prepared = prepare_change(request, held, self._clock.wall())
        if isinstance(prepared, Err):
            return prepared
        change = prepared.ok_value
        announced = await self._announce(request, change, held, head)
        if isinstance(announced, Err):
            return announced
        written = await self._store.transact(plan_writes(change, head))
        if isinstance(written, Ok):
            return Ok(change)
        return await self._resolve(change, written.err_value)

    async def _announce(
        self,
        request: ChangeRequest,
        change: Change,
        held: Configuration,
        head: Head,
    ) -> Result[None, MissingQuorumError]:
        witnesses = held.tables.select(Witness)
        noted: frozenset[str] = frozenset()
        if witnesses and self._announcer is not None:
            announcement = describe_change(change, head.version)
            noted = await self._announcer.announce(announcement, witnesses)
        needed = count_quorum(witnesses, noted, request.destroyed)
        if witnesses and len(noted) < needed:
            change_id = request.change_id
            return Err(MissingQuorumError(change_id, len(noted), needed))
        return Ok(None)

    async def _resolve(
        self,
        change: Change,
        error: StoreError,
    ) -> Result[Change, ProposalError] | None:
        if isinstance(error, StoreUnavailableError):
            return Err(UnreachableStoreError(change.change_id))
        if isinstance(error, StoreConflictError):
            return None
        found = await self.find_change(change.change_id)
        if isinstance(found, Ok) and found.ok_value == change:
            return Ok(change)
        # The write may still be on its way; a new head version settles it.
        settled = await self.fence()
        if isinstance(settled, Err):
            return Err(UnknownOutcomeError(change.change_id))
        found = await self.find_change(change.change_id)
        if isinstance(found, Err):
            return Err(UnknownOutcomeError(change.change_id))
        return Ok(change) if found.ok_value == change else None

    async def _explain_conflict(
        self,
        request: ChangeRequest,
        head: Head,
    ) -> ProposalError:
        later = await self.read_changes(request.expected)
        if isinstance(later, Err):
            return UnreachableStoreError(request.change_id)
        first = later.ok_value[0] if later.ok_value else None
        return RevisionConflictError(
            expected=request.expected,
            actual=head.revision,
            author=first.author if first else '',
            reason=first.reason if first else '',
            edits=first.edits if first else (),
        )
