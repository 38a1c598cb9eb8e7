"""HTTP responses of the operators' API."""

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
    """Return the response for an accepted change."""
    return json_response(
        AcceptedDocument(change.revision, change.change_id, change.digest),
    )


def respond_bad_request(detail: str) -> web.Response:
    """Return the response to input that cannot be decoded.

    :param detail: description of the problem.
    """
    document = ErrorDocument('bad-request', detail)
    return json_response(document, _STATUS_BAD_REQUEST)


def respond_error(error: CrocusError, status: int) -> web.Response:
    """Return the response to a call that failed.

    :param status: HTTP status code.
    """
    faults: tuple[str, ...] = ()
    if isinstance(error, InvalidChangeError):
        faults = tuple(str(fault) for fault in error.faults)
    document = ErrorDocument(
        error.code,
        error.describe(),
        faults,
        _describe_conflict(error),
    )
    return json_response(document, status)


def _describe_conflict(error: CrocusError) -> ConflictDocument | None:
    if not isinstance(error, RevisionConflictError):
        return None
    return ConflictDocument(
        error.actual,
        error.author,
        error.reason,
        error.edits,
    )
