"""Record of each request for the request log and the metrics."""

from dataclasses import dataclass

from aiohttp import web

from crocusshunt.core import Clock, HostIdentity
from crocusshunt.delivery import AnsweredBefore, Failure, NotRun
from crocusshunt.gateway._admission import Admission
from crocusshunt.metrics import EndedRequest, OutcomeKind, Recorder, log_request
from crocusshunt.routing import Server

_MILLISECONDS = 1000


@dataclass(slots=True)
class Trace:
    """Record of one request while it runs.

    :param arrived_at: time of arrival, in seconds since the Unix epoch.
    :param started_at: monotonic time of arrival, in seconds.
    :param code: machine-readable reason of the last failure, else empty.
    :param server: name of the backend server of the last attempt.
    :param attempts: number of attempts at backend servers.
    """

    request_id: str
    arrived_at: float
    started_at: float
    outcome: OutcomeKind = OutcomeKind.answered
    code: str = ''
    route: str = ''
    customer: str = ''
    pool: str = ''
    server: str = ''
    attempts: int = 0

    def note_admission(self, admission: Admission) -> None:
        """Record the route, the pool and the customer."""
        self.route = admission.route.name
        self.pool = admission.route.pool
        self.customer = admission.customer

    def note_server(self, server: Server) -> None:
        """Record an attempt at a backend server."""
        self.server = server.name
        self.attempts += 1

    def note_failure(self, failure: Failure) -> None:
        """Record why the request failed.

        A request that was answered before counts as answered.
        """
        if isinstance(failure, AnsweredBefore):
            return
        is_not_run = isinstance(failure, NotRun)
        kind = OutcomeKind.not_run if is_not_run else OutcomeKind.unknown
        self.outcome = kind
        self.code = failure.code


class Tracer:
    """Creates traces; logs and counts each request when it ends."""

    def __init__(
        self,
        identity: HostIdentity,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Trace the requests of one gateway.

        :param identity: host of the gateway.
        :param recorder: counts each ended request in the metrics.
        """
        self._identity = identity
        self._clock = clock
        self._recorder = recorder

    def open(self, request_id: str) -> Trace:
        """Return the trace of a request that arrives now."""
        clock = self._clock
        return Trace(request_id, clock.wall(), clock.monotonic())

    def close(self, trace: Trace, response: web.StreamResponse | None) -> None:
        """Log and count a request that ended.

        :param response: None if the caller disconnected or the gateway failed.
        """
        duration_s = self._clock.monotonic() - trace.started_at
        if response is None:
            trace.outcome = OutcomeKind.cancelled
        ended = EndedRequest(
            request_id=trace.request_id,
            time=trace.arrived_at,
            duration_ms=duration_s * _MILLISECONDS,
            region=self._identity.region,
            host=self._identity.name,
            outcome=trace.outcome,
            status=0 if response is None else response.status,
            route=trace.route,
            customer=trace.customer,
            pool=trace.pool,
            server=trace.server,
            attempts=trace.attempts,
            code=trace.code,
        )
        self._recorder.record(ended)
        log_request(ended)
