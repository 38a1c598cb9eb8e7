"""Outcomes of requests, and the problem documents that report failures."""

from dataclasses import dataclass

import msgspec

_STATUS_CONFLICT = 409


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server's complete response was relayed to the caller.

    :param status: HTTP status of the response.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """It is certain that no backend server ran the request.

    :param code: machine-readable reason.
    :param status: HTTP status for the caller.
    :param detail: readable reason.
    :param retry_after_s: seconds after which to retry, if known.
    """

    code: str
    status: int
    detail: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """It is unknown whether a backend server ran the request.

    :param code: machine-readable reason.
    :param status: HTTP status for the caller.
    :param detail: readable reason.
    :param retry_after_s: seconds after which to retry, if known.
    """

    code: str
    status: int
    detail: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseInterrupted:
    """The response ended early, after its start was relayed to the caller.

    The caller's connection was closed, so that it cannot mistake the partial
    response for a complete one.

    :param status: HTTP status of the response.
    :param detail: type of the error that ended it.
    """

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class AnsweredBefore:
    """An earlier request with the same idempotency key was answered.

    :param status: HTTP status of that response, whose body was not stored.
    """

    status: int


Outcome = Answered | NotRun | UnknownOutcome | ResponseInterrupted
Failure = NotRun | UnknownOutcome | AnsweredBefore


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem document that is sent to a caller.

    Reference: RFC 9457, "Problem Details for HTTP APIs".

    :param outcome: ``not_run``, ``unknown`` or ``answered``.
    :param answered_status: HTTP status of the earlier response, if any.
    """

    type: str
    title: str
    status: int
    outcome: str
    request_id: str
    detail: str = ''
    retry_after_s: float | None = None
    answered_status: int | None = None


def describe_failure(failure: Failure, request_id: str) -> Problem:
    """Return the problem document of a failed request.

    >>> describe_failure(NotRun('no-route', 404, 'x'), 'r1').outcome
    'not_run'
    """
    if isinstance(failure, AnsweredBefore):
        return Problem(
            type='urn:crocusshunt:problem:answered-before',
            title='answered before',
            status=_STATUS_CONFLICT,
            outcome='answered',
            request_id=request_id,
            detail='the request ran; its answer was too large to keep',
            answered_status=failure.status,
        )
    is_not_run = isinstance(failure, NotRun)
    return Problem(
        type=f'urn:crocusshunt:problem:{failure.code}',
        title=failure.code.replace('-', ' '),
        status=failure.status,
        outcome='not_run' if is_not_run else 'unknown',
        request_id=request_id,
        detail=failure.detail,
        retry_after_s=failure.retry_after_s,
    )
