"""HTTP answers of the operators' interface."""

from aiohttp import web

from crocusshunt.api._documents import (
    AcceptedDocument,
    ConflictDocument,
    ErrorDocument,
)
from crocusshunt.configuration import (
    Change,
    InvalidChangeError,
    RevisionConflictError,
)
from crocusshunt.core import CrocusError
from crocusshunt.web import json_response

_STATUS_BAD_REQUEST = 400


def respond_accepted(change: Change) -> web.Response:
    """Return the answer that names an accepted change."""
    return json_response(
        AcceptedDocument(change.revision, change.change_id, change.digest),
    )


def respond_bad_request(detail: str) -> web.Response:
    """Return the answer to input that cannot be read."""
    document = ErrorDocument('bad-request', detail)
    return json_response(document, _STATUS_BAD_REQUEST)


def respond_error(error: CrocusError, status: int) -> web.Response:
    """Return the answer to a call that failed."""
    faults: tuple[str, ...] = ()
    if isinstance(error, InvalidChangeError):
        faults = tuple(str(fault) for fault in error.faults)
    document = ErrorDocument(
        error.code,
        error.describe(),
        faults,
        _show_conflict(error),
    )
    return json_response(document, status)


def _show_conflict(error: CrocusError) -> ConflictDocument | None:
    if not isinstance(error, RevisionConflictError):
        return None
    return ConflictDocument(
        error.actual,
        error.author,
        error.reason,
        error.edits,
    )
