"""Attempts of one admitted request, within its deadline and budget."""

from dataclasses import dataclass

from result import Err

from crocusshunt.core import Clock
from crocusshunt.delivery import (
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    Answered,
    Attempt,
    BrokenOff,
    Forwarder,
    ForwardRequest,
    NotRun,
    Outcome,
    RetryBudget,
    Suspicion,
    UnknownOutcome,
    fingerprint_request,
    prepare_request_headers,
)
from crocusshunt.gateway._admission import Admission
from crocusshunt.gateway._bodies import Body
from crocusshunt.gateway._claiming import HeldClaim
from crocusshunt.gateway._inspection import Inspected
from crocusshunt.gateway._relay import Reply
from crocusshunt.gateway._rooms import RoomRequest, Rooms, ServerState
from crocusshunt.gateway._suspects import SuspectBoard
from crocusshunt.routing import RetryClass, Server

_MILLISECONDS = 1000
_MAX_ATTEMPTS = 2
_MAX_SHED = 4
_STATUS_GATEWAY_TIMEOUT = 504
_OVERLOADED = 'server-overloaded'
_DISCONNECTED = 'server-disconnected'


@dataclass(frozen=True, slots=True)
class Job:
    """An admitted request.

    :param deadline: monotonic time by which it ends.
    :param held: its claim, if it has one.
    """

    request_id: str
    inspected: Inspected
    admission: Admission
    body: Body
    reply: Reply
    deadline: float
    held: HeldClaim | None = None

    def fingerprint(self) -> str:
        """Return the digest of the request, without its keys."""
        return fingerprint_request(
            self.inspected.ask.method,
            self.inspected.target,
            self.body.digest(),
        )


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """What attempts need.

    :param retries: budget for attempts after a failure.
    :param sheds: budget for attempts after a server had no room.
    """

    rooms: Rooms
    state: ServerState
    forwarder: Forwarder
    board: SuspectBoard
    retries: RetryBudget
    sheds: RetryBudget


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended.

    :param suspicion: set where it seems to have crashed a server.
    """

    outcome: Outcome
    suspicion: Suspicion | None = None


class Dispatcher:
    """Runs jobs at backend servers."""

    def __init__(self, parts: DispatchParts, clock: Clock) -> None:
        """Use the parts of a gateway."""
        self._parts = parts
        self._clock = clock

    async def run(self, job: Job) -> Ending:
        """Wait for room, then try until an answer or a final failure."""
        admission = job.admission
        account = (admission.customer, admission.route.pool)
        self._parts.retries.earn(*account)
        self._parts.sheds.earn(*account)
        tried: tuple[Server, ...] = ()
        suspicion: Suspicion | None = None
        grant = await self._parts.rooms.acquire(_ask_room(job, tried))
        if isinstance(grant, Err):
            return Ending(grant.err_value)
        server: Server | None = grant.ok_value
        outcome: Outcome = _refuse_late()
        while server is not None:
            outcome = await self._attempt(job, server)
            tried = (*tried, server)
            suspicion = self._note(job, server, outcome) or suspicion
            if not self._may_retry(job, outcome, tried):
                break
            server = self._parts.rooms.acquire_now(_ask_room(job, tried))
        return Ending(outcome, suspicion)

    async def _attempt(self, job: Job, server: Server) -> Outcome:
        try:
            return await self._send(job, server)
        finally:
            self._parts.rooms.release(server)

    async def _send(self, job: Job, server: Server) -> Outcome:
        remaining = job.deadline - self._clock.monotonic()
        if remaining <= 0 or self._is_claim_over(job):
            return _refuse_late()
        request = _prepare(job, remaining)
        attempt = Attempt(server, request, job.reply.relay)
        return await self._parts.forwarder.send(attempt)

    def _is_claim_over(self, job: Job) -> bool:
        held = job.held
        return held is not None and self._clock.wall() >= held.claim.ends_at

    def _note(
        self,
        job: Job,
        server: Server,
        outcome: Outcome,
    ) -> Suspicion | None:
        state, now = self._parts.state, self._clock.monotonic()
        if isinstance(outcome, Answered):
            state.loads.note_answer(server)
            state.outliers.note_success(server, now)
        elif getattr(outcome, 'code', '') == _OVERLOADED:
            state.loads.note_shed(server)
        elif outcome != _refuse_late():
            state.outliers.note_failure(server, now)
        if not _is_loss(outcome):
            return None
        customer = job.admission.customer
        return self._parts.board.note_loss(
            customer,
            job.fingerprint(),
            server.name,
        )

    def _may_retry(
        self,
        job: Job,
        outcome: Outcome,
        tried: tuple[Server, ...],
    ) -> bool:
        if not _is_retryable(outcome, job) or not job.body.is_resendable:
            return False
        if self._clock.monotonic() >= job.deadline:
            return False
        account = (job.admission.customer, job.admission.route.pool)
        if getattr(outcome, 'code', '') == _OVERLOADED:
            is_allowed = len(tried) < _MAX_SHED
            return is_allowed and self._parts.sheds.spend(*account)
        is_allowed = len(tried) < _MAX_ATTEMPTS
        return is_allowed and self._parts.retries.spend(*account)


def _ask_room(job: Job, tried: tuple[Server, ...]) -> RoomRequest:
    route = job.admission.route
    return RoomRequest(
        route.pool,
        job.admission.customer,
        route.priority,
        job.deadline,
        tried,
    )


def _prepare(job: Job, remaining: float) -> ForwardRequest:
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


def _is_retryable(outcome: Outcome, job: Job) -> bool:
    if isinstance(outcome, NotRun):
        return job.admission.route.retry is not RetryClass.never
    return isinstance(outcome, UnknownOutcome) and _is_repeatable(job)


def _is_repeatable(job: Job) -> bool:
    route = job.admission.route
    return route.idempotent and route.retry is RetryClass.idempotent


def _is_loss(outcome: Outcome) -> bool:
    if isinstance(outcome, UnknownOutcome):
        return outcome.code == _DISCONNECTED
    return isinstance(outcome, BrokenOff)


def _refuse_late() -> NotRun:
    return NotRun(
        'deadline-exceeded',
        _STATUS_GATEWAY_TIMEOUT,
        'the deadline passed before the request was sent',
    )
