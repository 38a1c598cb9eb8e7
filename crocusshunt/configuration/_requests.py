"""Change requests of operators and their validation."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.configuration._changes import (
    Change,
    Configuration,
    apply_edits,
    attach_digest,
)
from crocusshunt.configuration._errors import Edit, InvalidChangeError
from crocusshunt.configuration._row_encoding import encode_row
from crocusshunt.routing import Tables, find_change_faults


@dataclass(frozen=True, slots=True)
class EditRequest:
    """A row that an operator wants to set or remove.

    :param row: the new row in text form, None to remove the row.
    """

    table: str
    name: str
    row: str | None


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator proposes.

    :param change_id: identifier chosen by the operator's program; a request
        with the same id is a repetition, which is applied at most once.
    :param expected: revision that the change is based on.
    :param destroyed: names of witnesses whose processes have ended
        permanently.
    """

    change_id: str
    expected: int
    author: str
    reason: str
    edits: tuple[EditRequest, ...]
    destroyed: frozenset[str] = frozenset()


def prepare_change(
    request: ChangeRequest,
    current: Configuration,
    time: float,
) -> Result[Change, InvalidChangeError]:
    """Validate a request and return its change with the digest, or all faults.

    :param current: the configuration that the change is applied to.
    :param time: time of the proposal in seconds since the Unix epoch.
    """
    edits = tuple(_prepare_edit(edit, current.tables) for edit in request.edits)
    applied = apply_edits(current.tables, edits)
    if isinstance(applied, Err):
        return applied
    faults = find_change_faults(current.tables, applied.ok_value)
    if faults:
        return Err(InvalidChangeError(faults))
    change = Change(
        revision=current.revision + 1,
        change_id=request.change_id,
        author=request.author,
        reason=request.reason,
        # An integer would be decoded as a float, which is encoded
        # differently and so has another digest.
        time=float(time),
        edits=edits,
        previous=current.digest,
    )
    return Ok(attach_digest(change))


def is_repetition(request: ChangeRequest, accepted: Change) -> bool:
    """Return whether a request repeats an accepted change.

    A request without edits also counts: it was planned after the change was
    accepted, when nothing was left to edit.
    """
    if request.author != accepted.author:
        return False
    requested = {(edit.table, edit.name, edit.row) for edit in request.edits}
    applied = {(edit.table, edit.name, edit.after) for edit in accepted.edits}
    return not requested or requested == applied


def _prepare_edit(edit: EditRequest, tables: Tables) -> Edit:
    before = tables.rows.get(edit.table, {}).get(edit.name)
    text = None if before is None else encode_row(before)
    return Edit(edit.table, edit.name, text, edit.row)
