"""One request of a caller, from its first byte to its outcome."""

import asyncio
from dataclasses import dataclass, replace

from aiohttp import web
from result import Err, Result

from crocusshunt.core import Clock, Identifiers
from crocusshunt.delivery import (
    Failure,
    NotRun,
    Outcome,
    RecordedAnswer,
    UnknownOutcome,
)
from crocusshunt.gateway._admission import Admission, AdmissionControl
from crocusshunt.gateway._bodies import Body, take_body
from crocusshunt.gateway._claiming import Refusal
from crocusshunt.gateway._dispatch import Dispatcher
from crocusshunt.gateway._draining import DrainPhase, InFlight
from crocusshunt.gateway._inspection import Inspected, inspect_request
from crocusshunt.gateway._jobs import Job
from crocusshunt.gateway._limits import Limiter
from crocusshunt.gateway._refusals import describe_limit, format_limit_headers
from crocusshunt.gateway._relay import Reply, respond_failure, respond_recorded
from crocusshunt.gateway._settlement import Settlement
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.gateway._tracing import Trace, Tracer

_MILLISECONDS = 1000
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_UNAVAILABLE = 503
_LEAVING_RETRY_S = 1
_PATIENCE_S = 3


@dataclass(frozen=True, slots=True)
class RequestParts:
    """Parts that every request passes through."""

    admission_control: AdmissionControl
    limiter: Limiter
    settlement: Settlement
    suspects: SuspectRegistry
    dispatcher: Dispatcher
    in_flight: InFlight
    tracer: Tracer


class RequestHandler:
    """Runs requests through the parts."""

    def __init__(
        self,
        parts: RequestParts,
        clock: Clock,
        identifiers: Identifiers,
    ) -> None:
        """Use the parts of a gateway."""
        self._parts = parts
        self._clock = clock
        self._identifiers = identifiers

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Return the caller's answer."""
        trace = self._parts.tracer.open(self._identifiers.create('req'))
        response: web.StreamResponse | None = None
        try:
            response = await self._track(request, trace)
        finally:
            self._parts.tracer.close(trace, response)
        if self._parts.in_flight.is_leaving and not response.prepared:
            response.force_close()
        return response

    async def _track(
        self,
        request: web.Request,
        trace: Trace,
    ) -> web.StreamResponse:
        in_flight = self._parts.in_flight
        if in_flight.phase is DrainPhase.closed:
            return _refuse(_refuse_leaving(), trace)
        with in_flight.track(trace.request_id):
            return await self._answer(request, trace)

    async def _answer(
        self,
        request: web.Request,
        trace: Trace,
    ) -> web.StreamResponse:
        inspected = inspect_request(request)
        if isinstance(inspected, Err):
            return _refuse(inspected.err_value, trace)
        admission = self._parts.admission_control.admit(inspected.ok_value.ask)
        if isinstance(admission, Err):
            return _refuse(admission.err_value, trace)
        trace.note_admission(admission.ok_value)
        refused = await self._limit(admission.ok_value, trace)
        if refused is not None:
            return refused
        granted_ms = _grant_time(inspected.ok_value, admission.ok_value)
        job = Job(
            trace=trace,
            inspected=inspected.ok_value,
            admission=admission.ok_value,
            body=Body(request),
            reply=Reply(request, trace.request_id, self._parts.in_flight),
            deadline=trace.started_at + granted_ms / _MILLISECONDS,
        )
        return await self._deliver(job)

    async def _limit(
        self,
        admission: Admission,
        trace: Trace,
    ) -> web.Response | None:
        """Take a token of the customer, or refuse."""
        if not admission.customer:
            return None
        taken = await self._parts.limiter.try_take(
            admission.customer,
            min(_PATIENCE_S, admission.route.deadline_ms / _MILLISECONDS),
        )
        if not isinstance(taken, Err):
            return None
        response = _refuse(describe_limit(taken.err_value), trace)
        response.headers.update(format_limit_headers(taken.err_value))
        return response

    async def _deliver(self, job: Job) -> web.StreamResponse:
        body = await self._take_body(job)
        if isinstance(body, Err):
            return _refuse(body.err_value, job.trace)
        job = replace(job, body=body.ok_value)
        quarantined = self._check_quarantine(job)
        if quarantined is not None:
            return _refuse(quarantined, job.trace)
        if not _needs_claim(job):
            return await self._finish(job)
        claimed = await self._parts.settlement.claim(job)
        if isinstance(claimed, Err):
            return _respond_refusal(claimed.err_value, job.trace)
        return await self._finish(replace(job, held=claimed.ok_value))

    async def _take_body(self, job: Job) -> Result[Body, NotRun]:
        is_needed = _needs_claim(job) or self._parts.suspects.has_suspects(
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
        if not self._parts.suspects.has_suspects(customer):
            return None
        return self._parts.suspects.check(customer, job.fingerprint())

    async def _finish(self, job: Job) -> web.StreamResponse:
        try:
            ending = await self._parts.dispatcher.run(job)
        except asyncio.CancelledError:
            self._parts.settlement.record_unknown(job)
            raise
        except Exception:
            job.reply.break_off()
            self._parts.settlement.record_unknown(job)
            raise
        await self._parts.settlement.settle(job, ending)
        return _respond(job, ending.outcome)


def _grant_time(inspected: Inspected, admission: Admission) -> int:
    longest_ms = admission.route.deadline_ms
    return min(longest_ms, inspected.deadline_ms or longest_ms)


def _needs_claim(job: Job) -> bool:
    admission = job.admission
    is_owned = bool(admission.customer and job.inspected.idempotency_key)
    return is_owned and not admission.route.idempotent


def _respond(job: Job, outcome: Outcome) -> web.StreamResponse:
    if isinstance(outcome, NotRun | UnknownOutcome):
        return _refuse(outcome, job.trace)
    assert job.reply.response is not None  # noqa: S101
    return job.reply.response


def _respond_refusal(refusal: Refusal, trace: Trace) -> web.Response:
    if isinstance(refusal, RecordedAnswer):
        return respond_recorded(refusal, trace.request_id)
    return _refuse(refusal, trace)


def _refuse(failure: Failure, trace: Trace) -> web.Response:
    trace.note_failure(failure)
    return respond_failure(failure, trace.request_id)


def _refuse_leaving() -> NotRun:
    return NotRun(
        'host-leaving',
        _STATUS_UNAVAILABLE,
        'this host is stopping; use another host',
        _LEAVING_RETRY_S,
    )
