"""One request of a caller, from its first byte to its outcome."""

import asyncio
from dataclasses import dataclass, replace

from aiohttp import web
from result import Err, Result

from crocusshunt.core import Clock, Identifiers
from crocusshunt.delivery import (
    Answered,
    BrokenOff,
    ClaimState,
    NotRun,
    Outcome,
    RecordedAnswer,
    UnknownOutcome,
)
from crocusshunt.gateway._admission import Admission, Gatekeeper
from crocusshunt.gateway._bodies import Body, take_body
from crocusshunt.gateway._claiming import (
    ClaimLedger,
    ClaimRequest,
    HeldClaim,
    Refusal,
)
from crocusshunt.gateway._dispatch import Dispatcher, Ending, Job
from crocusshunt.gateway._draining import DrainPhase, InFlight
from crocusshunt.gateway._inspection import Inspected, inspect_request
from crocusshunt.gateway._limits import Limiter
from crocusshunt.gateway._relay import (
    Reply,
    respond_failure,
    respond_recorded,
)
from crocusshunt.gateway._suspects import SuspectBoard
from crocusshunt.logs import log_event
from crocusshunt.services import TaskGroup

_MILLISECONDS = 1000
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_UNAVAILABLE = 503
_LEAVING_RETRY_S = 1


@dataclass(frozen=True, slots=True)
class Desk:
    """Parts that every request passes through."""

    gatekeeper: Gatekeeper
    limiter: Limiter
    ledger: ClaimLedger
    board: SuspectBoard
    dispatcher: Dispatcher
    in_flight: InFlight
    tasks: TaskGroup


class RequestHandler:
    """Runs requests through the desk."""

    def __init__(
        self,
        desk: Desk,
        clock: Clock,
        identifiers: Identifiers,
    ) -> None:
        """Use the parts of a gateway."""
        self._desk = desk
        self._clock = clock
        self._identifiers = identifiers

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Return the caller's answer."""
        request_id = self._identifiers.create('req')
        in_flight = self._desk.in_flight
        if in_flight.phase is DrainPhase.closed:
            response: web.StreamResponse = respond_failure(
                _refuse_leaving(),
                request_id,
            )
        else:
            with in_flight.track(request_id):
                response = await self._answer(request, request_id)
        if in_flight.is_leaving and not response.prepared:
            response.force_close()
        return response

    async def _answer(
        self,
        request: web.Request,
        request_id: str,
    ) -> web.StreamResponse:
        started_at = self._clock.monotonic()
        inspected = inspect_request(request)
        if isinstance(inspected, Err):
            return respond_failure(inspected.err_value, request_id)
        admission = await self._admit(inspected.ok_value)
        if isinstance(admission, Err):
            return respond_failure(admission.err_value, request_id)
        route = admission.ok_value.route
        job = Job(
            request_id=request_id,
            inspected=inspected.ok_value,
            admission=admission.ok_value,
            body=Body(request),
            reply=Reply(request, request_id, self._desk.in_flight),
            deadline=started_at + route.deadline_ms / _MILLISECONDS,
        )
        return await self._deliver(job)

    async def _admit(
        self,
        inspected: Inspected,
    ) -> Result[Admission, NotRun]:
        admission = self._desk.gatekeeper.admit(inspected.ask)
        if isinstance(admission, Err) or not admission.ok_value.customer:
            return admission
        token = await self._desk.limiter.take(admission.ok_value.customer)
        return token.and_then(lambda _taken: admission)

    async def _deliver(self, job: Job) -> web.StreamResponse:
        body = await self._take_body(job)
        if isinstance(body, Err):
            return respond_failure(body.err_value, job.request_id)
        job = replace(job, body=body.ok_value)
        quarantined = self._check_quarantine(job)
        if quarantined is not None:
            return respond_failure(quarantined, job.request_id)
        if not _needs_claim(job):
            return await self._finish(job)
        claimed = await self._claim(job)
        if isinstance(claimed, Err):
            return _respond_refusal(claimed.err_value, job.request_id)
        return await self._finish(replace(job, held=claimed.ok_value))

    async def _take_body(self, job: Job) -> Result[Body, NotRun]:
        is_needed = _needs_claim(job) or self._desk.board.has_suspects(
            job.admission.customer,
        )
        remaining = job.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                return await take_body(job.body.request, is_claimed=is_needed)
        except TimeoutError:
            return Err(
                NotRun(
                    'body-late',
                    _STATUS_REQUEST_TIMEOUT,
                    'the body did not arrive before the deadline',
                ),
            )

    def _check_quarantine(self, job: Job) -> NotRun | None:
        customer = job.admission.customer
        if not self._desk.board.has_suspects(customer):
            return None
        return self._desk.board.check(customer, job.fingerprint())

    async def _claim(self, job: Job) -> Result[HeldClaim, Refusal]:
        request = ClaimRequest(
            job.admission.customer,
            job.inspected.idempotency_key,
            job.fingerprint(),
            job.request_id,
            job.deadline,
        )
        claimed = await self._desk.ledger.claim(request)
        if isinstance(claimed, Err) and _is_undecided(claimed.err_value):
            self._desk.tasks.start(self._desk.ledger.withdraw(request))
        return claimed

    async def _finish(self, job: Job) -> web.StreamResponse:
        try:
            ending = await self._desk.dispatcher.run(job)
        except asyncio.CancelledError:
            self._record_later(job, ClaimState.unknown)
            _log_end(job, 'Cancelled')
            raise
        except Exception:
            job.reply.break_off()
            self._record_later(job, ClaimState.unknown)
            raise
        await self._settle(job, ending)
        _log_end(job, type(ending.outcome).__name__)
        return _respond(job, ending.outcome)

    async def _settle(self, job: Job, ending: Ending) -> None:
        outcome, board = ending.outcome, self._desk.board
        if isinstance(outcome, NotRun) and job.held is not None:
            # Before the answer, so that the caller may repeat at once.
            await self._desk.ledger.record(job.held, ClaimState.released)
        elif isinstance(outcome, Answered | BrokenOff):
            self._record_later(job, ClaimState.answered)
        else:
            self._record_later(job, ClaimState.unknown)
        if isinstance(outcome, Answered):
            if board.has_suspects(job.admission.customer):
                customer = job.admission.customer
                await board.forget(customer, job.fingerprint())
        elif ending.suspicion is not None:
            await board.share(ending.suspicion)

    def _record_later(self, job: Job, state: ClaimState) -> None:
        if job.held is not None:
            self._desk.tasks.start(self._record(job.held, job, state))

    async def _record(
        self,
        held: HeldClaim,
        job: Job,
        state: ClaimState,
    ) -> None:
        answer = job.reply.record()
        known = state if answer is None else ClaimState.answered
        with self._desk.in_flight.track(f'{job.request_id}-record'):
            await self._desk.ledger.record(held, known, answer)


def _needs_claim(job: Job) -> bool:
    admission = job.admission
    is_owned = bool(admission.customer and job.inspected.idempotency_key)
    return is_owned and not admission.route.idempotent


def _is_undecided(refusal: Refusal) -> bool:
    return isinstance(refusal, NotRun) and refusal.code == 'claim-unavailable'


def _log_end(job: Job, outcome: str) -> None:
    log_event(
        'request ended',
        request_id=job.request_id,
        route=job.admission.route.name,
        customer=job.admission.customer,
        outcome=outcome,
    )


def _respond(job: Job, outcome: Outcome) -> web.StreamResponse:
    if isinstance(outcome, NotRun | UnknownOutcome):
        return respond_failure(outcome, job.request_id)
    assert job.reply.response is not None  # noqa: S101
    return job.reply.response


def _respond_refusal(refusal: Refusal, request_id: str) -> web.Response:
    if isinstance(refusal, RecordedAnswer):
        return respond_recorded(refusal, request_id)
    return respond_failure(refusal, request_id)


def _refuse_leaving() -> NotRun:
    return NotRun(
        'host-leaving',
        _STATUS_UNAVAILABLE,
        'this host is stopping; use another host',
        _LEAVING_RETRY_S,
    )
