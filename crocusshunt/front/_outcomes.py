"""Endings of a request that the system decides itself."""

from dataclasses import dataclass
from enum import IntEnum

from crocusshunt.metrics import OutcomeKind

_LEAST_RETRY_AFTER_S = 0.1
_LONGEST_RETRY_AFTER_S = 30


class Status(IntEnum):
    """Statuses of the system's own answers.

    ``too_many`` and ``unavailable`` promise that the request did not run
    and never will; ``bad_gateway`` and ``timeout`` promise nothing.
    """

    bad_request = 400
    unknown_key = 401
    no_route = 404
    too_large = 413
    too_many = 429
    bad_gateway = 502
    unavailable = 503
    timeout = 504


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the system's own.

    :param cause: code for logs and metrics.
    :param retry_after_s: when the caller may come back, None to say nothing.
    """

    status: Status
    cause: str
    retry_after_s: float | None = None

    @property
    def kind(self) -> OutcomeKind:
        """Return what is known about the request."""
        if self.status in _PROMISES_NOTHING:
            return OutcomeKind.unknown
        return OutcomeKind.not_run

    @property
    def retry_after(self) -> str | None:
        """Return the value of the Retry-After header, in seconds."""
        if self.retry_after_s is None:
            return None
        bounded = min(_LONGEST_RETRY_AFTER_S, self.retry_after_s)
        return f'{max(_LEAST_RETRY_AFTER_S, bounded):.2f}'


_PROMISES_NOTHING = frozenset((Status.bad_gateway, Status.timeout))


def refuse_unavailable(cause: str, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that did not run."""
    return Refusal(Status.unavailable, cause, retry_after_s)
