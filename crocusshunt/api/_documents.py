"""JSON documents that the operators' API receives and returns."""

import msgspec

from crocusshunt.configuration import Change, Edit, EditRequest


class ConflictDocument(msgspec.Struct, frozen=True):
    """The accepted change with which a proposed change conflicts.

    :param revision: revision now in force.
    :param author: operator who proposed the accepted change.
    :param reason: reason that this operator gave.
    :param edits: edits of the accepted change.
    """

    revision: int
    author: str
    reason: str
    edits: tuple[Edit, ...]


class ErrorDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a call that failed.

    :param code: machine-readable error code.
    :param detail: one-line description of the error.
    :param faults: everything that is wrong with the input, one line each.
    :param conflict: the accepted change that is in conflict, if any.
    """

    code: str
    detail: str
    faults: tuple[str, ...] = ()
    conflict: ConflictDocument | None = None


class ChangeDocument(msgspec.Struct, frozen=True):
    """A proposed change.

    :param expected: newest revision that the operator had seen; the change is
        rejected if the store has another one.
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
    """A row in force.

    :param row: the row as JSON text.
    """

    table: str
    name: str
    row: str


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """All rows of the configuration in force."""

    revision: int
    digest: str
    rows: tuple[RowDocument, ...]


class HistoryDocument(msgspec.Struct, frozen=True):
    """A page of the accepted changes, oldest first."""

    changes: tuple[Change, ...]


class StatusDocument(msgspec.Struct, frozen=True):
    """State of the API process that answers.

    :param host: name of its host.
    :param revision: revision in force on it.
    :param evidence_age_s: seconds since the store or a majority of the
        witnesses last confirmed the revision as the newest, None if never.
    """

    host: str
    revision: int
    evidence_age_s: float | None
