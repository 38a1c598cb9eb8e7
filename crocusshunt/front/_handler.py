"""HTTP handler of callers' requests: admission, body, dispatch, response."""

import asyncio

from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.core import Clock
from crocusshunt.front._admission import Admission, admit
from crocusshunt.front._arrivals import measure_wait
from crocusshunt.front._attempts import RequestTemplate
from crocusshunt.front._bodies import read_body, release_body
from crocusshunt.front._handler_components import HandlerComponents
from crocusshunt.front._headers import (
    RELAYED_BY,
    RequestInfo,
    inspect_request,
    is_behind,
)
from crocusshunt.front._outcomes import (
    CAUSE_OLDER_CONFIGURATION,
    CAUSE_STARTING,
    CAUSE_STOPPING,
    OTHER_HOST_RETRY_S,
    Refusal,
    Status,
    refuse_unavailable,
)
from crocusshunt.front._pending import PendingRequest
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.front._rate_limit import apply_rate_limit
from crocusshunt.front._relay_outcomes import RELAY_REFUSAL, classify_refusal
from crocusshunt.front._renewal import excuse, renew_admission
from crocusshunt.front._responses import (
    create_refusal_response,
    create_response,
)
from crocusshunt.front._settings import HeaderNames
from crocusshunt.front._templates import (
    create_relay_template,
    create_template,
)
from crocusshunt.front._trace import RequestTrace
from crocusshunt.metrics import OutcomeKind
from crocusshunt.upstream import UpstreamAnswer

_CAUSE_CALLER_LEFT = 'caller-left'
# The response leaves this long before the route timeout ends.
_ANSWER_MARGIN_S = 0.01


class RequestHandler:
    """Serves callers' requests by forwarding them to backend servers."""

    def __init__(
        self,
        components: HandlerComponents,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Use the components of a host."""
        self.in_flight = components.in_flight
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
        """Return the response to one request of a caller."""
        return await self._respond(request, '')

    async def respond_relayed(self, request: web.BaseRequest) -> web.Response:
        """Return the response to a request that another host passes on."""
        self.in_flight.begin(request.protocol)
        try:
            return await self._respond(request, request.headers[RELAYED_BY])
        finally:
            self.in_flight.end(request.protocol)

    async def _respond(
        self, request: web.BaseRequest, relayed_by: str
    ) -> web.Response:
        request_info = inspect_request(request, self._names)
        waited_s = measure_wait(request)
        trace = RequestTrace(
            request_info.request_id,
            self._clock.monotonic() - waited_s,
            self._clock.wall() - waited_s,
            self._components.cluster.fleet.own,
            caller_timeout_s=request_info.caller_timeout_s,
            relayed_by=relayed_by,
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
        dispatch_result = await self._serve_in_time(
            request, request_info, trace
        )
        if isinstance(dispatch_result, Err):
            refusal = dispatch_result.err_value
            trace.retry_after_s = refusal.retry_after_s
            self._finish(trace, refusal.status, refusal.kind, refusal.cause)
            response = create_refusal_response(refusal)
            response.headers[self._names.request_id] = request_info.request_id
            if trace.relayed_by:
                outcome = classify_refusal(refusal)
                response.headers[RELAY_REFUSAL] = outcome.value
            return response
        upstream_response = dispatch_result.ok_value
        self._finish(trace, upstream_response.status, OutcomeKind.answered, '')
        return create_response(upstream_response)

    def _finish(
        self,
        trace: RequestTrace,
        status: int,
        outcome: OutcomeKind,
        code: str,
    ) -> None:
        now = self._clock.monotonic()
        record = trace.finish(now, status, outcome, code)
        if not trace.relayed_by:
            self._components.recorder.record(record)

    async def _serve_in_time(
        self,
        request: web.BaseRequest,
        request_info: RequestInfo,
        trace: RequestTrace,
    ) -> Result[UpstreamAnswer, Refusal]:
        """Return the result, or a refusal near the end of a planned stop.

        Answers that wait behind this request on its connection can then still
        be sent.
        """
        try:
            async with self.in_flight.limit_time():
                return await self._serve(request, request_info, trace)
        except TimeoutError:
            if trace.may_have_run:
                return Err(Refusal(Status.timeout, CAUSE_STOPPING))
            return Err(refuse_unavailable(CAUSE_STOPPING, OTHER_HOST_RETRY_S))

    async def _serve(
        self,
        request: web.BaseRequest,
        request_info: RequestInfo,
        trace: RequestTrace,
    ) -> Result[UpstreamAnswer, Refusal]:
        cluster = self._components.cluster
        admission_result = self._admit(request, request_info, trace)
        if isinstance(admission_result, Err):
            return admission_result
        admission = admission_result.ok_value
        # The host that passes a request on has taken a token for it.
        if not trace.relayed_by:
            refused = await apply_rate_limit(self._components.tokens, admission)
            if refused is not None:
                return Err(refused)
        body_result = await read_body(
            request, cluster.index, admission.route.timeout_s
        )
        if isinstance(body_result, Err):
            return body_result
        body = body_result.ok_value
        try:
            return await self._deliver(
                request, request_info, admission, trace, body
            )
        finally:
            release_body(request, body)

    async def _deliver(
        self,
        request: web.BaseRequest,
        request_info: RequestInfo,
        admission: Admission,
        trace: RequestTrace,
        body: bytes | None,
    ) -> Result[UpstreamAnswer, Refusal]:
        """Return the result of a request whose body was read.

        :param admission: by the configuration of its arrival.
        """
        renewed = renew_admission(admission, self._components.cluster.index)
        if isinstance(renewed, Err):
            return renewed
        template = create_template(
            request, request_info, renewed.ok_value, body, self._names
        )
        pending = self._create_pending_request(
            request_info, renewed.ok_value, trace, template
        )
        forwarder = self._components.forwarder
        if trace.relayed_by:
            return await forwarder.dispatcher.run(pending)
        return await forwarder.run(
            pending,
            lambda: create_relay_template(request, template, self._names),
        )

    def _admit(
        self,
        request: web.BaseRequest,
        request_info: RequestInfo,
        trace: RequestTrace,
    ) -> Result[Admission, Refusal]:
        index = self._components.cluster.index
        if trace.relayed_by and is_behind(request.headers, index):
            wait_s = OTHER_HOST_RETRY_S
            return Err(refuse_unavailable(CAUSE_OLDER_CONFIGURATION, wait_s))
        trace.record_request(request_info, index)
        admission_result = admit(request_info, index)
        if isinstance(admission_result, Err) and trace.relayed_by:
            # The other host admitted it, by an older configuration.
            return Err(excuse(admission_result.err_value))
        if isinstance(admission_result, Ok):
            trace.record_admission(admission_result.ok_value)
            if not self._components.information.is_complete:
                wait_s = OTHER_HOST_RETRY_S
                return Err(refuse_unavailable(CAUSE_STARTING, wait_s))
        return admission_result

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
