"""Refusals for want of admission tokens."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError
from crocusshunt.delivery import NotRun

_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503
_RETRY_S = 1


@dataclass(unsafe_hash=True)
class RateExceededError(CrocusError):
    """A request above its customer's rate and burst.

    :param limit: requests a second.
    :param burst: requests at once.
    :param remaining: whole tokens left.
    :param reset_s: seconds until another token is there.
    """

    code = 'rate-exceeded'

    limit: float
    burst: int
    remaining: int
    reset_s: float


@dataclass(unsafe_hash=True)
class LimitUnavailableError(CrocusError):
    """No host could say whether the customer is within its rate.

    :param detail: what was seen.
    """

    code = 'limit-unavailable'

    detail: str


LimitError = RateExceededError | LimitUnavailableError


def describe_limit(failure: LimitError) -> NotRun:
    """Return the outcome for the caller.

    >>> describe_limit(RateExceededError(10, 5, 0, 0.1)).status
    429
    """
    if isinstance(failure, RateExceededError):
        return NotRun(
            failure.code,
            _STATUS_TOO_MANY,
            'the customer is over its rate and burst',
            failure.reset_s,
        )
    return NotRun(
        failure.code,
        _STATUS_UNAVAILABLE,
        failure.detail,
        _RETRY_S,
    )


def format_limit_headers(failure: LimitError) -> dict[str, str]:
    """Return the headers of a refusal besides Retry-After.

    Reference: IETF draft-ietf-httpapi-ratelimit-headers.

    >>> headers = format_limit_headers(RateExceededError(10, 5, 0, 0.1))
    >>> headers['RateLimit'], headers['RateLimit-Policy']
    ('"customer";r=0;t=1', '"customer";q=10;w=1;burst=5')
    """
    if isinstance(failure, LimitUnavailableError):
        return {}
    reset_s = max(1, round(failure.reset_s))
    policy = f'"customer";q={failure.limit};w=1;burst={failure.burst}'
    return {
        'RateLimit': f'"customer";r={failure.remaining};t={reset_s}',
        'RateLimit-Policy': policy,
    }
