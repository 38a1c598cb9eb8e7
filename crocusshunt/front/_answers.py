"""What a backend server's response, or its absence, says of an attempt."""

from http import HTTPStatus

from crocusshunt.front._attempts import Outcome, Verdict
from crocusshunt.front._outcomes import NOT_RUN_STATUSES
from crocusshunt.front._settings import HeaderNames
from crocusshunt.upstream import (
    ConnectionLostError,
    NoRoomError,
    NotConnectedError,
    UpstreamAnswer,
    UpstreamError,
)


class WithheldError(Exception):
    """The server took no more requests before this one was sent."""


def classify_answer(response: UpstreamAnswer, names: HeaderNames) -> Outcome:
    """Return the outcome of an attempt with a complete response.

    A status tells callers that a request was not run; a server says so by a
    header. A response with such a status alone is not passed on.
    """
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return Outcome(Verdict.misdirected, detail='another server')
    says_not_run = response.find(names.not_run.lower().encode()) is not None
    if says_not_run and response.status < HTTPStatus.BAD_REQUEST:
        return Outcome(Verdict.broken, detail='success that was not run')
    if says_not_run:
        return Outcome(Verdict.shed, detail=f'status {response.status}')
    if response.status in NOT_RUN_STATUSES:
        detail = f'status {response.status}, may have run'
        return Outcome(Verdict.failed, detail=detail)
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        detail = f'status {response.status}'
        return Outcome(Verdict.failed, response, detail)
    if response.find(names.signature.lower().encode()) is None:
        return Outcome(Verdict.broken, detail='unsigned answer')
    return Outcome(Verdict.answered, response)


def classify_failure(
    failed: UpstreamError | WithheldError,
) -> Outcome:
    """Return the outcome of an attempt without a complete response."""
    match failed:
        case WithheldError():
            return Outcome(Verdict.withheld)
        case NotConnectedError():
            return Outcome(Verdict.unreachable, detail=failed.detail)
        case NoRoomError():
            return Outcome(Verdict.timed_out, detail=failed.detail)
    return Outcome(
        Verdict.broken,
        detail=failed.detail,
        is_connection_lost=isinstance(failed, ConnectionLostError),
    )
