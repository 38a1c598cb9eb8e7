"""Errors of the rate limiter and the HTTP responses they lead to."""

from dataclasses import dataclass

from crocusshunt.core import CrocusError
from crocusshunt.delivery import NotRun

_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503
_RETRY_S = 1


@dataclass(unsafe_hash=True)
class RateExceededError(CrocusError):
    """The request exceeds its customer's rate and burst.

    :param limit: the customer's rate, in requests per second.
    :param burst: capacity of the customer's token bucket, in requests.
    :param remaining: whole tokens left in the bucket.
    :param reset_s: seconds until the next token is available.
    """

    code = 'rate-exceeded'

    limit: float
    burst: int
    remaining: int
    reset_s: float


@dataclass(unsafe_hash=True)
class LimitUnavailableError(CrocusError):
    """No host could tell whether the customer is within its rate.

    :param detail: error of the last attempt to borrow tokens.
    """

    code = 'limit-unavailable'

    detail: str


LimitError = RateExceededError | LimitUnavailableError


def describe_limit_error(failure: LimitError) -> NotRun:
    """Return the outcome that the caller sees for a rate limiter's error.

    >>> describe_limit_error(RateExceededError(10, 5, 0, 0.1)).status
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
    """Return the rate limit headers of the response, without Retry-After.

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
