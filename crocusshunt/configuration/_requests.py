"""Changes as operators propose them."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.configuration._changes import (
    Change,
    Configuration,
    apply_edits,
    attach_digest,
)
from crocusshunt.configuration._errors import Edit, InvalidChangeError
from crocusshunt.configuration._rows import encode_row
from crocusshunt.routing import Tables, find_change_faults


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
    :param destroyed: names of witnesses whose processes ended for good.
    """

    change_id: str
    expected: int
    author: str
    reason: str
    edits: tuple[EditRequest, ...]
    destroyed: frozenset[str] = frozenset()


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
    faults = find_change_faults(held.tables, applied.ok_value)
    if faults:
        return Err(InvalidChangeError(faults))
    change = Change(
        revision=held.revision + 1,
        change_id=request.change_id,
        author=request.author,
        reason=request.reason,
        # An integer would read back as a float of another digest.
        time=float(time),
        edits=edits,
        previous=held.digest,
    )
    return Ok(attach_digest(change))


def is_same_change(request: ChangeRequest, accepted: Change) -> bool:
    """Tell whether a request asks again about an accepted change.

    A request that has no edits left to make was planned after the change
    was accepted.
    """
    if request.author != accepted.author:
        return False
    wanted = {(edit.table, edit.name, edit.row) for edit in request.edits}
    done = {(edit.table, edit.name, edit.after) for edit in accepted.edits}
    return not wanted or wanted == done


def _prepare_edit(edit: EditRequest, tables: Tables) -> Edit:
    before = tables.rows.get(edit.table, {}).get(edit.name)
    text = None if before is None else encode_row(before)
    return Edit(edit.table, edit.name, text, edit.row)
