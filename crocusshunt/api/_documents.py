"""JSON documents of the operators' interface."""

import msgspec

from crocusshunt.configuration import Change, Edit, EditRequest


class ConflictDocument(msgspec.Struct, frozen=True):
    """The change that came first.

    :param revision: revision now in force.
    """

    revision: int
    author: str
    reason: str
    edits: tuple[Edit, ...]


class ErrorDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to a call that failed.

    :param faults: everything wrong with the input, one line each.
    :param conflict: the change that came first, if one did.
    """

    code: str
    detail: str
    faults: tuple[str, ...] = ()
    conflict: ConflictDocument | None = None


class ChangeDocument(msgspec.Struct, frozen=True):
    """A proposed change.

    :param expected: revision that the operator had seen.
    :param destroyed: witnesses whose processes an administrator states to
        have ended for good; they count neither for nor against the change.
    """

    change_id: str
    expected: int
    reason: str
    edits: tuple[EditRequest, ...]
    destroyed: tuple[str, ...] = ()


class AcceptedDocument(msgspec.Struct, frozen=True):
    """An accepted change."""

    revision: int
    change_id: str
    digest: str


class RowDocument(msgspec.Struct, frozen=True):
    """A row in force, in its text form."""

    table: str
    name: str
    row: str


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """All rows in force."""

    revision: int
    digest: str
    rows: tuple[RowDocument, ...]


class HistoryDocument(msgspec.Struct, frozen=True):
    """Changes, oldest first."""

    changes: tuple[Change, ...]


class StatusDocument(msgspec.Struct, frozen=True):
    """State of the process that answers.

    :param evidence_age_s: seconds since the store was last read, None if
        never.
    """

    host: str
    revision: int
    evidence_age_s: float | None
