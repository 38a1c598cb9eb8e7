"""An admitted request and the state of its attempts."""

from dataclasses import dataclass, field

from crocusshunt.delivery import (
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    CrashSuspicion,
    ForwardRequest,
    NotRun,
    Outcome,
    ResponseInterrupted,
    UnknownOutcome,
    fingerprint_request,
    prepare_request_headers,
)
from crocusshunt.gateway._admission import Admission
from crocusshunt.gateway._bodies import Body
from crocusshunt.gateway._claiming import HeldClaim
from crocusshunt.gateway._inspection import InspectedRequest
from crocusshunt.gateway._picking import SlotRequest
from crocusshunt.gateway._relay import ResponseRelay
from crocusshunt.gateway._tracing import Trace
from crocusshunt.routing import RetryClass, Server

_MILLISECONDS = 1000
_STATUS_GATEWAY_TIMEOUT = 504
_OVERLOADED = 'server-overloaded'
_DISCONNECTED = 'server-disconnected'


@dataclass(frozen=True, slots=True)
class Job:
    """An admitted request and what is needed to dispatch it.

    :param relay: relays the response to the caller.
    :param deadline: monotonic time by which the request ends, in seconds.
    :param held: claim of its idempotency key, if it has one.
    """

    trace: Trace
    inspected: InspectedRequest
    admission: Admission
    body: Body
    relay: ResponseRelay
    deadline: float
    held: HeldClaim | None = None

    @property
    def request_id(self) -> str:
        """Return the identifier of the request."""
        return self.trace.request_id

    def fingerprint(self) -> str:
        """Return the digest of method, target and body, without API keys."""
        return fingerprint_request(
            self.inspected.admission_request.method,
            self.inspected.target,
            self.body.compute_digest(),
        )


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """Final outcome of a dispatched request.

    :param suspicion: set if the request seems to have crashed a server.
    """

    outcome: Outcome
    suspicion: CrashSuspicion | None = None


def refuse_expired() -> NotRun:
    """Return the refusal of a request that was not sent before its deadline."""
    return NotRun(
        'deadline-exceeded',
        _STATUS_GATEWAY_TIMEOUT,
        'the deadline passed before the request was sent',
    )


@dataclass(slots=True)
class Progress:
    """Attempts of a request so far.

    :param tried: servers that the next attempt must avoid.
    :param failures: number of failed attempts, without those shed for lack
        of a free slot.
    :param outcome: outcome of the last attempt.
    """

    slot_request: SlotRequest
    tried: tuple[Server, ...] = ()
    failures: int = 0
    outcome: Outcome = field(default_factory=refuse_expired)
    suspicion: CrashSuspicion | None = None

    def record_attempt(self, server: Server, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        self.outcome = outcome
        self.tried = (*self.tried, server)
        if not is_overloaded(outcome):
            self.failures += 1


def get_budget_key(job: Job) -> tuple[str, str]:
    """Return the customer and pool whose retry budget a request spends."""
    return job.admission.customer, job.admission.route.pool


def is_overloaded(outcome: Outcome) -> bool:
    """Tell whether the server shed the request for lack of a free slot."""
    return isinstance(outcome, NotRun) and outcome.code == _OVERLOADED


def create_forward_request(job: Job, remaining: float) -> ForwardRequest:
    """Return the request to send to the backend server.

    :param remaining: time until the deadline, in seconds.
    """
    request = job.body.request
    added = (
        (REQUEST_ID_HEADER, job.request_id),
        (CUSTOMER_HEADER, job.admission.customer),
        (DEADLINE_HEADER, str(int(remaining * _MILLISECONDS))),
    )
    admission_request = job.inspected.admission_request
    return ForwardRequest(
        request_id=job.request_id,
        method=admission_request.method,
        target=job.inspected.target,
        headers=prepare_request_headers(
            request.headers, added, admission_request.keys
        ),
        body=job.body.open(),
        timeout_s=remaining,
        is_repeatable=_is_repeatable(job),
    )


def is_retryable(outcome: Outcome, job: Job) -> bool:
    """Tell whether the route allows a retry after an outcome.

    A request that did not run is retried unless the route forbids all
    retries; one that may have run, only if the route is idempotent and
    its retry class allows it.
    """
    if isinstance(outcome, NotRun):
        return job.admission.route.retry is not RetryClass.never
    return isinstance(outcome, UnknownOutcome) and _is_repeatable(job)


def _is_repeatable(job: Job) -> bool:
    route = job.admission.route
    return route.idempotent and route.retry is RetryClass.idempotent


def is_server_loss(outcome: Outcome) -> bool:
    """Tell whether the server seems to have crashed during the request."""
    if isinstance(outcome, UnknownOutcome):
        return outcome.code == _DISCONNECTED
    return isinstance(outcome, ResponseInterrupted)
