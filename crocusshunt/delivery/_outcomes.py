"""What became of a request."""

from dataclasses import dataclass

import msgspec


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
    """A backend server may have run the request."""

    code: str
    status: int
    detail: str


Outcome = Answered | NotRun | UnknownOutcome


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem document for a caller.

    Reference: RFC 9457, "Problem Details for HTTP APIs".

    :param outcome: ``not_run`` or ``unknown``.
    """

    type: str
    title: str
    status: int
    outcome: str
    request_id: str
    detail: str = ''
    retry_after_s: float | None = None


def describe_failure(
    failure: NotRun | UnknownOutcome, request_id: str
) -> Problem:
    """Return the problem document of a failed request.

    >>> describe_failure(NotRun('no-route', 404, 'x'), 'r1').outcome
    'not_run'
    """
    is_not_run = isinstance(failure, NotRun)
    return Problem(
        type=f'urn:crocusshunt:problem:{failure.code}',
        title=failure.code.replace('-', ' '),
        status=failure.status,
        outcome='not_run' if is_not_run else 'unknown',
        request_id=request_id,
        detail=failure.detail,
        retry_after_s=getattr(failure, 'retry_after_s', None),
    )
