"""One admitted request, and what its attempts came to."""

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
from crocusshunt.gateway._inspection import Inspected
from crocusshunt.gateway._picking import RoomRequest
from crocusshunt.gateway._relay import Reply
from crocusshunt.gateway._tracing import Trace
from crocusshunt.routing import RetryClass, Server

_MILLISECONDS = 1000
_STATUS_GATEWAY_TIMEOUT = 504
_OVERLOADED = 'server-overloaded'
_DISCONNECTED = 'server-disconnected'


@dataclass(frozen=True, slots=True)
class Job:
    """An admitted request.

    :param deadline: monotonic time by which it ends.
    :param held: its claim, if it has one.
    """

    trace: Trace
    inspected: Inspected
    admission: Admission
    body: Body
    reply: Reply
    deadline: float
    held: HeldClaim | None = None

    @property
    def request_id(self) -> str:
        """Return the identifier of the request."""
        return self.trace.request_id

    def fingerprint(self) -> str:
        """Return the digest of the request, without its keys."""
        return fingerprint_request(
            self.inspected.ask.method,
            self.inspected.target,
            self.body.digest(),
        )


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended.

    :param suspicion: set where it seems to have crashed a server.
    """

    outcome: Outcome
    suspicion: CrashSuspicion | None = None


def refuse_late() -> NotRun:
    """Refuse a request whose deadline passed before it was sent."""
    return NotRun(
        'deadline-exceeded',
        _STATUS_GATEWAY_TIMEOUT,
        'the deadline passed before the request was sent',
    )


@dataclass(slots=True)
class Progress:
    """What was tried so far.

    :param tried: servers not to be asked again at once.
    :param failures: attempts that failed, other than for want of room.
    """

    room: RoomRequest
    tried: tuple[Server, ...] = ()
    failures: int = 0
    outcome: Outcome = field(default_factory=refuse_late)
    suspicion: CrashSuspicion | None = None

    def note(self, server: Server, outcome: Outcome) -> None:
        """Count an attempt."""
        self.outcome = outcome
        self.tried = (*self.tried, server)
        if not is_overloaded(outcome):
            self.failures += 1


def name_account(job: Job) -> tuple[str, str]:
    """Return whose retries a job spends."""
    return job.admission.customer, job.admission.route.pool


def is_overloaded(outcome: Outcome) -> bool:
    """Tell whether a server had no room."""
    return isinstance(outcome, NotRun) and outcome.code == _OVERLOADED


def prepare_forward(job: Job, remaining: float) -> ForwardRequest:
    """Return the request as the backend server will see it.

    :param remaining: what is left of the deadline, in seconds.
    """
    request = job.body.request
    added = (
        (REQUEST_ID_HEADER, job.request_id),
        (CUSTOMER_HEADER, job.admission.customer),
        (DEADLINE_HEADER, str(int(remaining * _MILLISECONDS))),
    )
    ask = job.inspected.ask
    return ForwardRequest(
        request_id=job.request_id,
        method=ask.method,
        target=job.inspected.target,
        headers=prepare_request_headers(request.headers, added, ask.keys),
        body=job.body.open(),
        timeout_s=remaining,
        is_repeatable=_is_repeatable(job),
    )


def is_retryable(outcome: Outcome, job: Job) -> bool:
    """Tell whether the route lets an attempt be repeated."""
    if isinstance(outcome, NotRun):
        return job.admission.route.retry is not RetryClass.never
    return isinstance(outcome, UnknownOutcome) and _is_repeatable(job)


def _is_repeatable(job: Job) -> bool:
    route = job.admission.route
    return route.idempotent and route.retry is RetryClass.idempotent


def is_loss(outcome: Outcome) -> bool:
    """Tell whether a server seems to have gone away."""
    if isinstance(outcome, UnknownOutcome):
        return outcome.code == _DISCONNECTED
    return isinstance(outcome, ResponseInterrupted)
