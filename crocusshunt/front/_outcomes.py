"""Responses to callers that this system generates itself."""

from dataclasses import dataclass
from enum import IntEnum

from crocusshunt.metrics import OutcomeKind

# Causes of refusals where this host reached no server, but another one may.
UNREACHED_CAUSES = frozenset(('no-warm-server', 'not-run-unreachable'))
# Cause of a refusal by a host that is to handle a request by a configuration
# that it does not know yet.
CAUSE_OLDER_CONFIGURATION = 'older-configuration'
# Cause of a refusal of a request that the configuration of its arrival allows,
# and a newer one does not.
CAUSE_CHANGED = 'configuration-changed'
# Cause of a refusal by a host that started and does not know enough yet.
CAUSE_STARTING = 'starting'
# Cause of a refusal by a host that stops before it could answer.
CAUSE_STOPPING = 'host-stopping'
# Statuses by which a caller learns that its request was not run, and that it
# never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# How soon a request may go to another host.
OTHER_HOST_RETRY_S = 0.2
_MIN_RETRY_AFTER_S = 0.01
_MAX_RETRY_AFTER_S = 30


class Status(IntEnum):
    """Status codes of the responses that this system generates itself.

    ``body_timeout``, ``too_many`` and ``unavailable`` guarantee that the
    request was not executed and never will be; after ``bad_gateway`` and
    ``timeout`` it may have been.
    """

    bad_request = 400
    unknown_key = 401
    no_route = 404
    body_timeout = 408
    too_large = 413
    too_many = 429
    bad_gateway = 502
    unavailable = 503
    timeout = 504


@dataclass(frozen=True, slots=True)
class Refusal:
    """A response by which this system refuses a request.

    :param cause: code for the body, logs and metrics.
    :param retry_after_s: when the caller may try again, None to leave the
        header out.
    """

    status: Status
    cause: str
    retry_after_s: float | None = None

    @property
    def kind(self) -> OutcomeKind:
        """Return whether a server may have executed the request."""
        if self.status in _MAY_HAVE_RUN:
            return OutcomeKind.unknown
        return OutcomeKind.not_run

    @property
    def retry_after(self) -> str | None:
        """Return the value of the Retry-After header, in seconds."""
        if self.retry_after_s is None:
            return None
        bounded = min(_MAX_RETRY_AFTER_S, self.retry_after_s)
        return f'{max(_MIN_RETRY_AFTER_S, bounded):.2f}'


_MAY_HAVE_RUN = frozenset((Status.bad_gateway, Status.timeout))


def refuse_unavailable(cause: str, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that was not executed."""
    return Refusal(Status.unavailable, cause, retry_after_s)
