"""Storage of the configuration in the platform's table service."""

from result import Err, Ok, Result

from crocusshunt.configuration._announcements import (
    Announcer,
    build_announcement,
    compute_quorum_size,
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
    CHANGE_ID_TABLE,
    CHANGE_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    Head,
    decode_changes,
    decode_head,
    format_revision,
    plan_head_write,
    plan_writes,
)
from crocusshunt.configuration._requests import (
    ChangeRequest,
    is_repetition,
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

_MAX_WRITE_ATTEMPTS = 3


class Repository:
    """Reads the chain of changes and appends to it by conditional writes."""

    def __init__(
        self,
        store: TableStore,
        clock: Clock,
        announcer: Announcer | None = None,
    ) -> None:
        """Create a repository on a table service.

        :param announcer: announces each change to the witnesses; without
            it no change is accepted once the configuration names witnesses.
        """
        self._store = store
        self._clock = clock
        self._announcer = announcer

    async def read_head(self) -> Result[Head, StoreError]:
        """Return the head, which identifies the newest revision."""
        row = await self._store.read(HEAD_TABLE, HEAD_KEY)
        return row.and_then(decode_head)

    async def read_changes(
        self,
        after: int,
    ) -> Result[tuple[Change, ...], StoreError]:
        """Return a page of the changes after a revision, oldest first."""
        rows = await self._store.query(
            Query(CHANGE_TABLE, format_revision(after)),
        )
        return rows.and_then(decode_changes)

    async def find_change(
        self,
        change_id: str,
    ) -> Result[Change | None, StoreError]:
        """Return the accepted change with an id, None if there is none."""
        pointer = await self._store.read(CHANGE_ID_TABLE, change_id)
        if isinstance(pointer, Err):
            return pointer
        if pointer.ok_value is None:
            return Ok(None)
        return await self._read_change(pointer.ok_value.body)

    async def read_change(
        self,
        revision: int,
    ) -> Result[Change | None, StoreError]:
        """Return the change that created a revision, None if there is none."""
        return await self._read_change(format_revision(revision))

    async def fence(self) -> Result[Head, StoreError]:
        """Rewrite the head row unchanged and return its new version.

        The new version fences off all older writes: a write that was
        conditional on an older version either took effect before or never
        will.
        """
        before = await self.read_head()
        if isinstance(before, Err):
            return before
        await self._store.transact((plan_head_write(before.ok_value),))
        after = await self.read_head()
        if isinstance(after, Err):
            return after
        if after.ok_value.version > before.ok_value.version:
            return after
        return Err(StoreUnknownOutcomeError('the head row was not rewritten'))

    async def propose(
        self,
        request: ChangeRequest,
        current: Configuration,
    ) -> Result[Change, ProposalError]:
        """Validate, announce and write a change.

        A write that conflicts with a concurrent one is attempted again, up
        to ``_MAX_WRITE_ATTEMPTS`` times in all. A request whose change id
        was accepted before is not written again.

        :param current: the configuration of the newest revision, against
            which the change is validated.
        """
        for _ in range(_MAX_WRITE_ATTEMPTS):
            outcome = await self._find_previous_outcome(request)
            if outcome is not None:
                return outcome
            head = await self.read_head()
            if isinstance(head, Err):
                return Err(UnreachableStoreError(request.change_id))
            refused = await self._check_head(request, current, head.ok_value)
            if refused is not None:
                return Err(refused)
            outcome = await self._announce_and_write(
                request,
                current,
                head.ok_value,
            )
            if outcome is not None:
                return outcome
        return Err(BusyHeadError(request.change_id))

    async def _read_change(
        self,
        key: str,
    ) -> Result[Change | None, StoreError]:
        row = await self._store.read(CHANGE_TABLE, key)
        if isinstance(row, Err):
            return row
        found = () if row.ok_value is None else (row.ok_value,)
        changes = decode_changes(found)
        return changes.map(lambda read: read[0] if read else None)

    async def _find_previous_outcome(
        self,
        request: ChangeRequest,
    ) -> Result[Change, ProposalError] | None:
        """Return the outcome of an earlier acceptance of the change id."""
        accepted = await self.find_change(request.change_id)
        if isinstance(accepted, Err):
            return Err(UnreachableStoreError(request.change_id))
        change = accepted.ok_value
        if change is None:
            return None
        if is_repetition(request, change):
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
        current: Configuration,
        head: Head,
    ) -> ProposalError | None:
        if head.revision > request.expected:
            return await self._explain_conflict(request, head)
        if current.revision < head.revision:
            return UnreachableStoreError(request.change_id)
        if current.digest != head.digest:
            return DivergedHistoryError(current.revision, head.revision)
        if head.revision != request.expected:
            return await self._explain_conflict(request, head)
        return None

    async def _announce_and_write(
        self,
        request: ChangeRequest,
        current: Configuration,
        head: Head,
    ) -> Result[Change, ProposalError] | None:
        """Announce and write a change.

        :return: the outcome, None if certainly nothing was written and the
            attempt can be repeated.
        """
        prepared = prepare_change(request, current, self._clock.wall())
        if isinstance(prepared, Err):
            return prepared
        change = prepared.ok_value
        announced = await self._announce(request, change, current, head)
        if isinstance(announced, Err):
            return announced
        written = await self._store.transact(plan_writes(change, head))
        if isinstance(written, Ok):
            return Ok(change)
        return await self._resolve_failed_write(change, written.err_value)

    async def _announce(
        self,
        request: ChangeRequest,
        change: Change,
        current: Configuration,
        head: Head,
    ) -> Result[None, MissingQuorumError]:
        witnesses = current.tables.select(Witness)
        noted: frozenset[str] = frozenset()
        if witnesses and self._announcer is not None:
            announcement = build_announcement(change, head.version)
            noted = await self._announcer.announce(announcement, witnesses)
        needed = compute_quorum_size(witnesses, noted, request.destroyed)
        if witnesses and len(noted) < needed:
            change_id = request.change_id
            return Err(MissingQuorumError(change_id, len(noted), needed))
        return Ok(None)

    async def _resolve_failed_write(
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
        # The write may still reach the store. After the fence it either has
        # taken effect or never will.
        fenced = await self.fence()
        if isinstance(fenced, Err):
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
