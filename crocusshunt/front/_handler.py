"""HTTP handler of callers' requests: admission, body, dispatch, response."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.catalog import RequestLimits
from crocusshunt.core import Clock
from crocusshunt.crashes import compute_fingerprint
from crocusshunt.front._admission import Admission, admit
from crocusshunt.front._attempts import RequestTemplate
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._dispatch import Dispatcher, PendingRequest
from crocusshunt.front._headers import (
    RequestInfo,
    inspect_request,
    select_headers,
    select_response_headers,
)
from crocusshunt.front._outcomes import Refusal, Status, refuse_unavailable
from crocusshunt.front._pipelining import InFlight
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.front._settings import HeaderNames
from crocusshunt.front._targets import TargetChooser
from crocusshunt.front._tokens import TokenService
from crocusshunt.front._trace import RequestTrace
from crocusshunt.metrics import OutcomeKind, Recorder
from crocusshunt.upstream import UpstreamAnswer

_CAUSE_CALLER_LEFT = 'caller-left'
_MAX_BUFFERED_BYTES = 67_108_864
_BUFFERS_FULL_RETRY_S = 1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# The response leaves this long before the route timeout ends.
_ANSWER_MARGIN_S = 0.01
# How long a request may wait for a token, as a fraction of the latency
# objective. A host's share of a rate is small, so the gaps between tokens are
# noticeable.
_TOKEN_WAIT_FRACTION = 0.3
# Rate shares change each second, so a longer wait cannot be predicted.
_MAX_REPORTED_WAIT_S = 2


@dataclass(frozen=True, slots=True)
class HandlerComponents:
    """Components that every request passes through."""

    cluster: ClusterState
    tokens: TokenService
    dispatcher: Dispatcher
    recorder: Recorder
    targets: TargetChooser = field(default_factory=TargetChooser)


class RequestHandler:
    """Serves callers' requests by forwarding them to backend servers."""

    def __init__(
        self,
        components: HandlerComponents,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Use the components of a host."""
        self.in_flight = InFlight()
        self._components = components
        self._names = names
        self._clock = clock

    def is_repeatable(self, request: web.BaseRequest) -> bool:
        """Tell whether a request may be executed more than once.

        That holds also for a request that is refused in any case.
        """
        request_info = inspect_request(request, self._names)
        admitted = admit(request_info, self._components.cluster.index)
        if isinstance(admitted, Err):
            return True
        return admitted.ok_value.route.is_idempotent

    async def respond(self, request: web.BaseRequest) -> web.Response:
        """Return the response to one request."""
        request_info = inspect_request(request, self._names)
        trace = RequestTrace(
            request_info.request_id,
            self._clock.monotonic(),
            self._clock.wall(),
            self._components.cluster.fleet.own,
            caller_timeout_s=request_info.caller_timeout_s,
        )
        try:
            return await self._process(request, request_info, trace)
        except asyncio.CancelledError:
            self._finish(trace, 0, OutcomeKind.cancelled, _CAUSE_CALLER_LEFT)
            raise

    async def _process(
        self,
        request: web.BaseRequest,
        request_info: RequestInfo,
        trace: RequestTrace,
    ) -> web.Response:
        dispatch_result = await self._serve(request, request_info, trace)
        if isinstance(dispatch_result, Err):
            refusal = dispatch_result.err_value
            trace.retry_after_s = refusal.retry_after_s
            self._finish(trace, refusal.status, refusal.kind, refusal.cause)
            return self._create_refusal_response(refusal, request_info)
        upstream_response = dispatch_result.ok_value
        self._finish(trace, upstream_response.status, OutcomeKind.answered, '')
        return _create_response(upstream_response)

    def _finish(
        self,
        trace: RequestTrace,
        status: int,
        outcome: OutcomeKind,
        code: str,
    ) -> None:
        now = self._clock.monotonic()
        record = trace.finish(now, status, outcome, code)
        self._components.recorder.record(record)

    async def _serve(
        self,
        request: web.BaseRequest,
        request_info: RequestInfo,
        trace: RequestTrace,
    ) -> Result[UpstreamAnswer, Refusal]:
        cluster = self._components.cluster
        admission_result = admit(request_info, cluster.index)
        if isinstance(admission_result, Err):
            return admission_result
        admission = admission_result.ok_value
        trace.record_admission(admission, cluster.index)
        refused = await self._apply_rate_limit(admission)
        if refused is not None:
            return Err(refused)
        body_result = await self._read_body(
            request, _get_max_body_bytes(cluster)
        )
        if isinstance(body_result, Err):
            return body_result
        body = body_result.ok_value
        template = self._create_template(request, request_info, admission, body)
        try:
            return await self._components.dispatcher.run(
                self._create_pending_request(
                    request_info, admission, trace, template
                ),
            )
        finally:
            self.in_flight.buffered_bytes -= len(body or b'')

    async def _apply_rate_limit(self, admission: Admission) -> Refusal | None:
        customer = admission.customer
        if customer is None:
            return None
        tokens = self._components.tokens
        max_wait_s = _TOKEN_WAIT_FRACTION * admission.route.objective_s
        grant = await tokens.take(customer, max_wait_s)
        if not grant.is_granted:
            wait_s = min(grant.wait_s, _MAX_REPORTED_WAIT_S)
            return Refusal(Status.too_many, 'over-rate', wait_s)
        try:
            await asyncio.sleep(grant.wait_s)
        except asyncio.CancelledError:
            tokens.put_back(customer.name)
            raise
        return None

    def _create_pending_request(
        self,
        request_info: RequestInfo,
        admission: Admission,
        trace: RequestTrace,
        template: RequestTemplate,
    ) -> PendingRequest:
        route = admission.route
        pool = self._components.targets.choose(route)
        trace.pool = pool
        time_limit_s = route.timeout_s - _ANSWER_MARGIN_S
        if request_info.caller_timeout_s is not None:
            time_limit_s = min(time_limit_s, request_info.caller_timeout_s)
        is_sticky = route.is_sticky and request_info.affinity_key
        placement_request = PlacementRequest(
            admission=admission,
            pool=pool,
            key=f'{pool} {request_info.affinity_key}'
            if is_sticky
            else request_info.request_id,
            objective_at=trace.started_at + route.objective_s,
            final_at=min(
                trace.started_at + time_limit_s, self.in_flight.answer_by
            ),
        )
        return PendingRequest(placement_request, template, trace)

    def _create_template(
        self,
        request: web.BaseRequest,
        request_info: RequestInfo,
        admission: Admission,
        body: bytes | None,
    ) -> RequestTemplate:
        headers = select_headers(request.headers, self._names, request_info.key)
        customer = admission.customer
        fingerprint = compute_fingerprint(
            '' if customer is None else customer.name,
            request_info.method,
            request_info.host,
            request_info.target,
            body,
        )
        return RequestTemplate(
            request_info.request_id,
            request_info.method,
            request_info.target,
            tuple(headers),
            body,
            fingerprint,
        )

    async def _read_body(
        self,
        request: web.BaseRequest,
        max_bytes: int,
    ) -> Result[bytes | None, Refusal]:
        """Return the whole body, None for a request without one.

        :param max_bytes: a longer body is refused.
        """
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
                refusal = self._check_size(len(body), max_bytes)
                if refusal is not None:
                    in_flight.buffered_bytes -= len(body)
                    return Err(refusal)
        except BaseException:
            in_flight.buffered_bytes -= len(body)
            raise
        return Ok(bytes(body))

    def _check_size(self, size: int, max_bytes: int) -> Refusal | None:
        if size > max_bytes:
            return Refusal(Status.too_large, 'body-too-large')
        if self.in_flight.buffered_bytes > _MAX_BUFFERED_BYTES:
            return refuse_unavailable('buffers-full', _BUFFERS_FULL_RETRY_S)
        return None

    def _create_refusal_response(
        self, refusal: Refusal, request_info: RequestInfo
    ) -> web.Response:
        response = web.Response(
            status=refusal.status,
            text=refusal.cause,
            headers={self._names.request_id: request_info.request_id},
        )
        if refusal.retry_after is not None:
            response.headers['Retry-After'] = refusal.retry_after
        return response


def _get_max_body_bytes(cluster: ClusterState) -> int:
    index = cluster.index
    limits = RequestLimits() if index is None else index.catalog.limits
    return limits.body_bytes


def _create_response(upstream_response: UpstreamAnswer) -> web.Response:
    return web.Response(
        status=upstream_response.status,
        reason=upstream_response.reason.decode('latin-1') or None,
        headers=select_response_headers(upstream_response.headers),
        body=upstream_response.body,
    )
