"""Endpoints that propose changes and return accepted ones."""

import msgspec
from aiohttp import web
from result import Err, Ok

from crocusshunt.api._documents import (
    ChangeDocument,
    ErrorDocument,
    HistoryDocument,
)
from crocusshunt.api._endpoints import Call, check_role, register_endpoint
from crocusshunt.api._responses import (
    respond_accepted,
    respond_bad_request,
    respond_error,
)
from crocusshunt.configuration import (
    ChangeRequest,
    InvalidChangeError,
    ProposalError,
    ReusedChangeIdError,
    RevisionConflictError,
)
from crocusshunt.operators import Role, find_needed_role
from crocusshunt.web import json_response

_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503
_WITNESS_TABLE = 'witness'
_MAX_REVISION_DIGITS = 12


@register_endpoint('GET', '/v1/changes', Role.read)
async def show_changes(call: Call) -> web.Response:
    """Return a page of the changes after a revision, oldest first."""
    after = call.request.query.get('after', '0')
    if not after.isdecimal() or len(after) > _MAX_REVISION_DIGITS:
        return respond_bad_request('after: a whole number')
    changes = await call.context.repository.read_changes(int(after))
    if isinstance(changes, Err):
        return respond_error(changes.err_value, _STATUS_UNAVAILABLE)
    return json_response(HistoryDocument(changes.ok_value))


@register_endpoint('GET', '/v1/changes/{id}', Role.read)
async def show_change(call: Call) -> web.Response:
    """Return the accepted change with an id, or 404 if there is none."""
    change_id = call.request.match_info['id']
    change = await call.context.repository.find_change(change_id)
    if isinstance(change, Err):
        return respond_error(change.err_value, _STATUS_UNAVAILABLE)
    if change.ok_value is None:
        document = ErrorDocument('not-accepted', 'no change has this id')
        return json_response(document, _STATUS_NOT_FOUND)
    return respond_accepted(change.ok_value)


@register_endpoint('POST', '/v1/changes', Role.operate)
async def propose_change(call: Call) -> web.Response:
    """Check and write a change, or return why it was rejected.

    The store is read before, so that the change is checked against the newest
    revision, and after, so that this process has the new one.
    """
    body = await call.request.read()
    try:
        document = msgspec.json.decode(body, type=ChangeDocument)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return respond_bad_request(str(error))
    refusal = check_role(call, _find_needed_role(document))
    if refusal is not None:
        return refusal
    proposal = ChangeRequest(
        change_id=document.change_id,
        expected=document.expected,
        author=call.operator.name,
        reason=document.reason,
        edits=document.edits,
        destroyed=frozenset(document.destroyed),
    )
    context = call.context
    await context.store_poller.poll()
    written = await context.repository.propose(
        proposal,
        context.feed.configuration,
    )
    if isinstance(written, Ok):
        await context.store_poller.poll()
        await context.archive.save_if_due(context.feed.configuration)
        return respond_accepted(written.ok_value)
    return respond_error(
        written.err_value, _find_http_status(written.err_value)
    )


def _find_needed_role(document: ChangeDocument) -> Role:
    is_administrator_needed = bool(document.destroyed) or any(
        edit.table == _WITNESS_TABLE for edit in document.edits
    )
    if is_administrator_needed:
        return Role.administer
    return find_needed_role(document.edits)


def _find_http_status(error: ProposalError) -> int:
    if isinstance(error, InvalidChangeError):
        return _STATUS_BAD_REQUEST
    if isinstance(error, RevisionConflictError | ReusedChangeIdError):
        return _STATUS_CONFLICT
    return _STATUS_UNAVAILABLE
