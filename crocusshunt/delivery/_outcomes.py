"""What became of a request."""

from dataclasses import dataclass

import msgspec

_STATUS_CONFLICT = 409


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server's whole answer reached the caller.

    :param status: HTTP status of the answer.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """No backend server ran the request, provably.

    :param code: machine-readable reason.
    :param status: HTTP status for the caller.
    :param retry_after_s: seconds after which to ask again, if known.
    """

    code: str
    status: int
    detail: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """A backend server may have run the request.

    :param retry_after_s: seconds after which to ask again, if known.
    """

    code: str
    status: int
    detail: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseInterrupted:
    """The answer ended after its start reached the caller.

    The caller's connection was broken, so it cannot take the part for the
    whole.

    :param status: HTTP status of the answer.
    """

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class AnsweredBefore:
    """An earlier request with the same idempotency key was answered.

    :param status: HTTP status of that answer, whose body was not kept.
    """

    status: int


Outcome = Answered | NotRun | UnknownOutcome | ResponseInterrupted
Failure = NotRun | UnknownOutcome | AnsweredBefore


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem document for a caller.

    Reference: RFC 9457, "Problem Details for HTTP APIs".

    :param outcome: ``not_run``, ``unknown`` or ``answered``.
    :param answered_status: HTTP status of the earlier answer.
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
