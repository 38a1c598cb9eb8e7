"""Requests of callers, from their first byte to their answer."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.catalog import RequestLimits
from crocusshunt.core import Clock
from crocusshunt.front._admission import Admission, admit
from crocusshunt.front._dispatch import Dispatcher, Job
from crocusshunt.front._exchange import Attempt
from crocusshunt.front._inspection import (
    Ask,
    inspect_request,
    select_answer_headers,
    select_headers,
)
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.front._outcomes import Refusal, Status, refuse_unavailable
from crocusshunt.front._placing import Placing
from crocusshunt.front._settings import HeaderNames
from crocusshunt.front._targets import TargetChooser
from crocusshunt.front._tokens import TokenDesk
from crocusshunt.front._trace import Trace
from crocusshunt.metrics import OutcomeKind, Recorder
from crocusshunt.upstream import UpstreamAnswer

_CAUSE_CALLER_LEFT = 'caller-left'
_MAX_BUFFERED_BYTES = 67_108_864
_BUFFERS_FULL_RETRY_S = 1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# The final answer leaves a little before the time is over.
_ANSWER_MARGIN_S = 0.01
# A host's part of a rate is small, so its tokens come in steps; part of the
# latency objective that a request may wait for the next one.
_TOKEN_WAIT = 0.3
# Parts of rates change each second, so a longer wait cannot be told.
_LONGEST_TOKEN_WAIT_S = 2


@dataclass(slots=True)
class InFlight:
    """Requests under way, and whether the host is stopping.

    :param busy: connections with a request that is not answered yet.
    """

    busy: set[object] = field(default_factory=set)
    buffered_bytes: int = 0
    is_leaving: bool = False

    @property
    def count(self) -> int:
        """Return the number of requests under way."""
        return len(self.busy)


@dataclass(frozen=True, slots=True)
class HandlerParts:
    """What every request passes through."""

    knowledge: Knowledge
    tokens: TokenDesk
    targets: TargetChooser
    dispatcher: Dispatcher
    recorder: Recorder


class RequestHandler:
    """Answers callers' requests."""

    def __init__(
        self,
        parts: HandlerParts,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Use the parts of a host."""
        self.in_flight = InFlight()
        self._parts = parts
        self._names = names
        self._clock = clock

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the answer to one request."""
        ask = inspect_request(request, self._names)
        trace = Trace(
            ask.request_id,
            self._clock.monotonic(),
            self._clock.wall(),
            self._parts.knowledge.fleet.own,
            patience_s=ask.patience_s,
        )
        self.in_flight.busy.add(request.protocol)
        try:
            response = await self._answer(request, ask, trace)
        except asyncio.CancelledError:
            self._end(trace, 0, OutcomeKind.cancelled, _CAUSE_CALLER_LEFT)
            raise
        finally:
            self.in_flight.busy.discard(request.protocol)
        if self.in_flight.is_leaving:
            response.force_close()
        return response

    async def _answer(
        self,
        request: web.BaseRequest,
        ask: Ask,
        trace: Trace,
    ) -> web.Response:
        ending = await self._serve(request, ask, trace)
        if isinstance(ending, Err):
            refusal = ending.err_value
            trace.retry_after_s = refusal.retry_after_s
            self._end(trace, refusal.status, refusal.kind, refusal.cause)
            return self._respond_refusal(refusal, ask)
        answer = ending.ok_value
        self._end(trace, answer.status, OutcomeKind.answered, '')
        return _respond_answer(answer)

    def _end(
        self,
        trace: Trace,
        status: int,
        outcome: OutcomeKind,
        code: str,
    ) -> None:
        now = self._clock.monotonic()
        ended = trace.end(now, status, outcome, code)
        self._parts.recorder.record(ended)

    async def _serve(
        self,
        request: web.BaseRequest,
        ask: Ask,
        trace: Trace,
    ) -> Result[UpstreamAnswer, Refusal]:
        knowledge = self._parts.knowledge
        admitted = admit(ask, knowledge.index)
        if isinstance(admitted, Err):
            return admitted
        admission = admitted.ok_value
        trace.note_admission(admission, knowledge.index)
        refused = await self._limit(admission)
        if refused is not None:
            return Err(refused)
        read = await self._read_body(request, _find_longest(knowledge))
        if isinstance(read, Err):
            return read
        body = read.ok_value
        attempt = self._build_attempt(request, ask, body)
        try:
            return await self._parts.dispatcher.run(
                self._prepare(ask, admission, trace, attempt),
            )
        finally:
            self.in_flight.buffered_bytes -= len(body or b'')

    async def _limit(self, admission: Admission) -> Refusal | None:
        customer = admission.customer
        if customer is None:
            return None
        tokens = self._parts.tokens
        patience_s = _TOKEN_WAIT * admission.route.objective_s
        grant = await tokens.take(customer, patience_s)
        if not grant.is_granted:
            wait_s = min(grant.wait_s, _LONGEST_TOKEN_WAIT_S)
            return Refusal(Status.too_many, 'over-rate', wait_s)
        try:
            await asyncio.sleep(grant.wait_s)
        except asyncio.CancelledError:
            tokens.put_back(customer.name)
            raise
        return None

    def _prepare(
        self,
        ask: Ask,
        admission: Admission,
        trace: Trace,
        attempt: Attempt,
    ) -> Job:
        route = admission.route
        pool = self._parts.targets.choose(route)
        trace.pool = pool
        granted_s = route.timeout_s - _ANSWER_MARGIN_S
        if ask.patience_s is not None:
            granted_s = min(granted_s, ask.patience_s)
        is_sticky = route.is_sticky and ask.affinity
        placing = Placing(
            admission=admission,
            pool=pool,
            key=f'{pool} {ask.affinity}' if is_sticky else ask.request_id,
            objective_at=trace.started_at + route.objective_s,
            final_at=trace.started_at + granted_s,
        )
        return Job(placing, attempt, trace)

    def _build_attempt(
        self,
        request: web.BaseRequest,
        ask: Ask,
        body: bytes | None,
    ) -> Attempt:
        headers = select_headers(request.headers, self._names, ask.key)
        return Attempt(
            ask.request_id,
            ask.method,
            ask.target,
            tuple(headers),
            body,
        )

    async def _read_body(
        self,
        request: web.BaseRequest,
        longest: int,
    ) -> Result[bytes | None, Refusal]:
        """Return the whole body, None for a request without one."""
        if not request.body_exists:
            return Ok(None)
        if request.headers.get('Expect') and request.transport is not None:
            request.transport.write(_CONTINUE)
        in_flight = self.in_flight
        body = bytearray()
        try:
            async for chunk in request.content.iter_any():
                body += chunk
                in_flight.buffered_bytes += len(chunk)
                refusal = self._check_size(len(body), longest)
                if refusal is not None:
                    in_flight.buffered_bytes -= len(body)
                    return Err(refusal)
        except BaseException:
            in_flight.buffered_bytes -= len(body)
            raise
        return Ok(bytes(body))

    def _check_size(self, size: int, longest: int) -> Refusal | None:
        if size > longest:
            return Refusal(Status.too_large, 'body-too-large')
        if self.in_flight.buffered_bytes > _MAX_BUFFERED_BYTES:
            return refuse_unavailable('buffers-full', _BUFFERS_FULL_RETRY_S)
        return None

    def _respond_refusal(self, refusal: Refusal, ask: Ask) -> web.Response:
        response = web.Response(
            status=refusal.status,
            text=refusal.cause,
            headers={self._names.request_id: ask.request_id},
        )
        if refusal.retry_after is not None:
            response.headers['Retry-After'] = refusal.retry_after
        return response


def _find_longest(knowledge: Knowledge) -> int:
    index = knowledge.index
    limits = RequestLimits() if index is None else index.catalog.limits
    return limits.body_bytes


def _respond_answer(answer: UpstreamAnswer) -> web.Response:
    return web.Response(
        status=answer.status,
        reason=answer.reason.decode('latin-1') or None,
        headers=select_answer_headers(answer.headers),
        body=answer.body,
    )
