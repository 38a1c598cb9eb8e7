"""The configuration in the platform's table service."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from crocusshunt.configuration._changes import (
    GENESIS_DIGEST,
    Change,
    Configuration,
    Edit,
    apply_edits,
    seal_change,
)
from crocusshunt.configuration._errors import (
    InvalidChangeError,
    ProposalError,
    RevisionConflictError,
    UnknownOutcomeError,
    UnreachableStoreError,
)
from crocusshunt.configuration._rows import encode_row
from crocusshunt.core import Clock
from crocusshunt.routing import Tables, find_faults
from crocusshunt.store import (
    ABSENT,
    Query,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    TableStore,
    Write,
)

_HEADS = 'configuration-head'
_CHANGES = 'configuration-change'
_CHANGE_IDS = 'configuration-change-id'
_HEAD_KEY = 'head'
_REVISION_DIGITS = 12


@dataclass(frozen=True, slots=True)
class Head:
    """The newest revision.

    :param version: version of the head's row, for the next conditional
        write.
    """

    revision: int = 0
    digest: str = GENESIS_DIGEST
    version: int = ABSENT


@dataclass(frozen=True, slots=True)
class EditRequest:
    """A row that an operator wants put, or removed where it is None."""

    table: str
    name: str
    row: str | None


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator proposes.

    :param change_id: chosen by the operator's program; the same id asks
        again about the same change.
    :param expected: revision that the operator had seen.
    """

    change_id: str
    expected: int
    author: str
    reason: str
    edits: tuple[EditRequest, ...]


class Repository:
    """Reads and conditionally extends the chain of changes."""

    def __init__(self, store: TableStore, clock: Clock) -> None:
        """Use a table service."""
        self._store = store
        self._clock = clock

    async def read_head(self) -> Result[Head, StoreError]:
        """Return the newest revision."""
        row = await self._store.read(_HEADS, _HEAD_KEY)
        return row.map(
            lambda found: (
                Head()
                if found is None
                else _decode_head(found.body, found.version)
            ),
        )

    async def read_changes(
        self,
        after: int,
    ) -> Result[tuple[Change, ...], StoreError]:
        """Return some of the changes after a revision, oldest first."""
        rows = await self._store.query(Query(_CHANGES, _format(after)))
        return rows.map(
            lambda found: tuple(_decode_change(row.body) for row in found),
        )

    async def find_change(
        self,
        change_id: str,
    ) -> Result[Change | None, StoreError]:
        """Return the accepted change of an id, None where there is none."""
        pointer = await self._store.read(_CHANGE_IDS, change_id)
        if isinstance(pointer, Err):
            return pointer
        if pointer.ok_value is None:
            return Ok(None)
        row = await self._store.read(_CHANGES, pointer.ok_value.body)
        return row.map(
            lambda found: None if found is None else _decode_change(found.body),
        )

    async def propose(
        self,
        request: ChangeRequest,
        held: Configuration,
    ) -> Result[Change, ProposalError]:
        """Check and write a change.

        :param held: the configuration of the newest revision, against
            which the change is checked.
        """
        known = await self._find_known(request)
        if isinstance(known, Err) or known.ok_value is not None:
            return known  # type: ignore[return-value]
        head = await self.read_head()
        if isinstance(head, Err):
            return Err(UnreachableStoreError(request.change_id))
        if head.ok_value.revision != request.expected:
            return await self._explain_conflict(request)
        if held.digest != head.ok_value.digest:
            return await self._explain_conflict(request)
        change = prepare_change(request, held, self._clock.wall())
        if isinstance(change, Err):
            return change
        return await self._write(change.ok_value, head.ok_value)

    async def _find_known(
        self,
        request: ChangeRequest,
    ) -> Result[Change | None, ProposalError]:
        known = await self.find_change(request.change_id)
        return known.map_err(
            lambda _error: UnreachableStoreError(request.change_id),
        )

    async def _write(
        self,
        change: Change,
        head: Head,
    ) -> Result[Change, ProposalError]:
        written = await self._store.transact(_plan_writes(change, head))
        if isinstance(written, Ok):
            return Ok(change)
        return await self._resolve(change, written.err_value)

    async def _resolve(
        self,
        change: Change,
        error: StoreError,
    ) -> Result[Change, ProposalError]:
        if isinstance(error, StoreUnavailableError):
            return Err(UnreachableStoreError(change.change_id))
        found = await self.find_change(change.change_id)
        if isinstance(found, Err):
            return Err(UnknownOutcomeError(change.change_id))
        if found.ok_value is not None:
            return Ok(found.ok_value)
        if isinstance(error, StoreConflictError):
            return await self._explain_conflict(
                ChangeRequest(
                    change.change_id,
                    change.revision - 1,
                    change.author,
                    change.reason,
                    (),
                ),
            )
        return Err(UnknownOutcomeError(change.change_id))

    async def _explain_conflict(
        self,
        request: ChangeRequest,
    ) -> Result[Change, ProposalError]:
        later = await self.read_changes(request.expected)
        if isinstance(later, Err):
            return Err(UnreachableStoreError(request.change_id))
        first = later.ok_value[0] if later.ok_value else None
        return Err(
            RevisionConflictError(
                expected=request.expected,
                actual=later.ok_value[-1].revision if later.ok_value else 0,
                author=first.author if first else '',
                reason=first.reason if first else '',
            ),
        )


def prepare_change(
    request: ChangeRequest,
    held: Configuration,
    time: float,
) -> Result[Change, InvalidChangeError]:
    """Return the sealed change of a request, or all its faults.

    :param time: seconds since the Unix epoch.
    """
    edits = tuple(_prepare_edit(edit, held.tables) for edit in request.edits)
    applied = apply_edits(held.tables, edits)
    if isinstance(applied, Err):
        return applied
    faults = find_faults(applied.ok_value)
    if faults:
        return Err(InvalidChangeError(faults))
    change = Change(
        revision=held.revision + 1,
        change_id=request.change_id,
        author=request.author,
        reason=request.reason,
        time=time,
        edits=edits,
        previous=held.digest,
    )
    return Ok(seal_change(change))


def _prepare_edit(edit: EditRequest, tables: Tables) -> Edit:
    before = tables.rows.get(edit.table, {}).get(edit.name)
    text = None if before is None else encode_row(before)
    return Edit(edit.table, edit.name, text, edit.row)


def _plan_writes(change: Change, head: Head) -> tuple[Write, ...]:
    key = _format(change.revision)
    body = msgspec.json.encode(change, order='sorted').decode()
    moved = Head(change.revision, change.digest)
    head_body = msgspec.json.encode(moved).decode()
    return (
        Write(_HEADS, _HEAD_KEY, head_body, head.version),
        Write(_CHANGES, key, body, ABSENT),
        Write(_CHANGE_IDS, change.change_id, key, ABSENT),
    )


def _decode_head(body: str, version: int) -> Head:
    head = msgspec.json.decode(body, type=Head)
    return Head(head.revision, head.digest, version)


def _decode_change(body: str) -> Change:
    return msgspec.json.decode(body, type=Change)


def _format(revision: int) -> str:
    return f'{revision:0{_REVISION_DIGITS}d}'
