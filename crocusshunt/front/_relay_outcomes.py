"""What a host tells the host that passed a request on, if no server answered.

The one header that carries it has a typed value, never the cause of a refusal:
causes are added and renamed by builds, and one cause may end requests that ran
and requests that did not. Whether a request may have run is told by the status
alone, as to callers; so a value that this build does not know is safe.
"""

from enum import Enum

from crocusshunt.front._outcomes import (
    CAUSE_OLDER_CONFIGURATION,
    CAUSE_STARTING,
    CAUSE_STOPPING,
    OTHER_HOST_RETRY_S,
    UNREACHED_CAUSES,
    Refusal,
    Status,
    refuse_unavailable,
)
from crocusshunt.metrics import OutcomeKind
from crocusshunt.upstream import UpstreamAnswer

# On a response between hosts, in place of a backend server's response.
RELAY_REFUSAL = 'Crocus-Relay-Refusal'
_WIRE_NAME = RELAY_REFUSAL.lower().encode()
_MAX_CAUSE_LENGTH = 60
_STATUSES = frozenset(Status)
# Causes that lie with one host: another one may take the request.
_LOCAL_CAUSES = UNREACHED_CAUSES | {
    CAUSE_OLDER_CONFIGURATION,
    CAUSE_STARTING,
    CAUSE_STOPPING,
}


class RelayOutcome(Enum):
    """Outcome of a request at the host that it was passed on to.

    ``not_taken`` means that it was not run and that another host may take it,
    ``not_run`` that it was not run and is refused, ``may_have_run`` that a
    server may have begun to execute it.
    """

    not_taken = 'not-taken'
    not_run = 'not-run'
    may_have_run = 'may-have-run'


def classify_refusal(refusal: Refusal) -> RelayOutcome:
    """Return the outcome that a refusal stands for.

    >>> classify_refusal(refuse_unavailable('host-stopping', 1)).value
    'not-taken'
    >>> classify_refusal(Refusal(Status.timeout, 'host-stopping')).value
    'may-have-run'
    """
    if refusal.kind is OutcomeKind.unknown:
        return RelayOutcome.may_have_run
    if refusal.cause in _LOCAL_CAUSES:
        return RelayOutcome.not_taken
    return RelayOutcome.not_run


def decode_refusal(response: UpstreamAnswer) -> Refusal | None:
    """Return the refusal of another host, None for a server's response.

    A status that this build does not send itself promises nothing.
    """
    if response.find(_WIRE_NAME) is None:
        return None
    cause = response.body[:_MAX_CAUSE_LENGTH].decode('utf-8', 'replace')
    if response.status == Status.unavailable:
        wait = response.find(b'retry-after') or b''
        return refuse_unavailable(cause, _parse_wait(wait))
    if response.status in _STATUSES:
        return Refusal(Status(response.status), cause)
    return Refusal(Status.bad_gateway, cause)


def is_not_taken(response: UpstreamAnswer, refusal: Refusal) -> bool:
    """Tell whether a third host may take a request that was refused.

    :param refusal: the one that the response contains.
    """
    if refusal.kind is not OutcomeKind.not_run:
        return False
    return response.find(_WIRE_NAME) == RelayOutcome.not_taken.value.encode()


def _parse_wait(retry_after: bytes) -> float:
    try:
        return float(retry_after)
    except ValueError:
        return OTHER_HOST_RETRY_S
