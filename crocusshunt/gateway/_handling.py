"""Handling of a caller's request, from inspection to response."""

import asyncio
from dataclasses import dataclass, replace

from aiohttp import web
from result import Err, Result

from crocusshunt.core import Clock, IdentifierGenerator
from crocusshunt.delivery import (
    Failure,
    NotRun,
    Outcome,
    RecordedAnswer,
    UnknownOutcome,
)
from crocusshunt.gateway._admission import Admission, AdmissionControl
from crocusshunt.gateway._bodies import Body, read_body
from crocusshunt.gateway._claiming import ClaimRefusal
from crocusshunt.gateway._dispatch import Dispatcher
from crocusshunt.gateway._draining import DrainPhase, InFlight
from crocusshunt.gateway._inspection import InspectedRequest, inspect_request
from crocusshunt.gateway._jobs import Job
from crocusshunt.gateway._limit_errors import (
    describe_limit_error,
    format_limit_headers,
)
from crocusshunt.gateway._limits import Limiter
from crocusshunt.gateway._outcome_recorder import OutcomeRecorder
from crocusshunt.gateway._relay import (
    ResponseRelay,
    respond_failure,
    respond_recorded,
)
from crocusshunt.gateway._suspects import SuspectRegistry
from crocusshunt.gateway._tracing import Trace, Tracer

_MILLISECONDS = 1000
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_UNAVAILABLE = 503
_LEAVING_RETRY_S = 1
_MAX_TOKEN_WAIT_S = 3


@dataclass(frozen=True, slots=True)
class RequestParts:
    """Collaborators of the request handler."""

    admission_control: AdmissionControl
    limiter: Limiter
    outcome_recorder: OutcomeRecorder
    suspects: SuspectRegistry
    dispatcher: Dispatcher
    in_flight: InFlight
    tracer: Tracer


class RequestHandler:
    """Handles each request in a fixed order of steps.

    The request is inspected, admitted, rate limited and checked against
    the quarantine. On a route that is not idempotent, its idempotency key
    is claimed. Then it is dispatched and its outcome recorded.
    """

    def __init__(
        self,
        parts: RequestParts,
        clock: Clock,
        identifiers: IdentifierGenerator,
    ) -> None:
        """Use the given parts of a gateway."""
        self._parts = parts
        self._clock = clock
        self._identifiers = identifiers

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Return the response for the caller."""
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
            return await self._process(request, trace)

    async def _process(
        self,
        request: web.Request,
        trace: Trace,
    ) -> web.StreamResponse:
        inspected = inspect_request(request)
        if isinstance(inspected, Err):
            return _refuse(inspected.err_value, trace)
        admission = self._parts.admission_control.admit(
            inspected.ok_value.admission_request
        )
        if isinstance(admission, Err):
            return _refuse(admission.err_value, trace)
        trace.note_admission(admission.ok_value)
        refused = await self._take_token(admission.ok_value, trace)
        if refused is not None:
            return refused
        deadline_ms = _choose_deadline_ms(
            inspected.ok_value, admission.ok_value
        )
        job = Job(
            trace=trace,
            inspected=inspected.ok_value,
            admission=admission.ok_value,
            body=Body(request),
            relay=ResponseRelay(
                request, trace.request_id, self._parts.in_flight
            ),
            deadline=trace.started_at + deadline_ms / _MILLISECONDS,
        )
        return await self._deliver(job)

    async def _take_token(
        self,
        admission: Admission,
        trace: Trace,
    ) -> web.Response | None:
        """Take a token of the customer; return a response if refused."""
        if not admission.customer:
            return None
        taken = await self._parts.limiter.try_take(
            admission.customer,
            min(_MAX_TOKEN_WAIT_S, admission.route.deadline_ms / _MILLISECONDS),
        )
        if not isinstance(taken, Err):
            return None
        response = _refuse(describe_limit_error(taken.err_value), trace)
        response.headers.update(format_limit_headers(taken.err_value))
        return response

    async def _deliver(self, job: Job) -> web.StreamResponse:
        body = await self._read_body(job)
        if isinstance(body, Err):
            return _refuse(body.err_value, job.trace)
        job = replace(job, body=body.ok_value)
        quarantined = self._check_quarantine(job)
        if quarantined is not None:
            return _refuse(quarantined, job.trace)
        if not _is_claim_needed(job):
            return await self._dispatch(job)
        claimed = await self._parts.outcome_recorder.claim(job)
        if isinstance(claimed, Err):
            return _respond_refusal(claimed.err_value, job.trace)
        return await self._dispatch(replace(job, held=claimed.ok_value))

    async def _read_body(self, job: Job) -> Result[Body, NotRun]:
        is_needed = _is_claim_needed(job) or self._parts.suspects.has_suspects(
            job.admission.customer,
        )
        remaining = job.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                return await read_body(
                    job.body.request, is_digest_needed=is_needed
                )
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

    async def _dispatch(self, job: Job) -> web.StreamResponse:
        try:
            dispatched = await self._parts.dispatcher.run(job)
        except asyncio.CancelledError:
            self._parts.outcome_recorder.record_unknown(job)
            raise
        except Exception:
            job.relay.abort()
            self._parts.outcome_recorder.record_unknown(job)
            raise
        await self._parts.outcome_recorder.record_outcome(job, dispatched)
        return _respond(job, dispatched.outcome)


def _choose_deadline_ms(
    inspected: InspectedRequest, admission: Admission
) -> int:
    longest_ms = admission.route.deadline_ms
    return min(longest_ms, inspected.deadline_ms or longest_ms)


def _is_claim_needed(job: Job) -> bool:
    admission = job.admission
    is_keyed = bool(admission.customer and job.inspected.idempotency_key)
    return is_keyed and not admission.route.idempotent


def _respond(job: Job, outcome: Outcome) -> web.StreamResponse:
    if isinstance(outcome, NotRun | UnknownOutcome):
        return _refuse(outcome, job.trace)
    assert job.relay.response is not None  # noqa: S101
    return job.relay.response


def _respond_refusal(refusal: ClaimRefusal, trace: Trace) -> web.Response:
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
