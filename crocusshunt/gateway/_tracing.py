"""What is noted of one request for the logs and the metrics."""

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
    """Notes of one request while it runs.

    :param arrived_at: seconds since the Unix epoch.
    :param started_at: monotonic time in seconds.
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
        """Note the route and the customer."""
        self.route = admission.route.name
        self.pool = admission.route.pool
        self.customer = admission.customer

    def note_server(self, server: Server) -> None:
        """Note an attempt."""
        self.server = server.name
        self.attempts += 1

    def note_failure(self, failure: Failure) -> None:
        """Note why there is no answer."""
        if isinstance(failure, AnsweredBefore):
            return
        is_not_run = isinstance(failure, NotRun)
        kind = OutcomeKind.not_run if is_not_run else OutcomeKind.unknown
        self.outcome = kind
        self.code = failure.code


class Tracer:
    """Opens traces, and hands each ended request on once."""

    def __init__(
        self,
        identity: HostIdentity,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Trace the requests of one gateway."""
        self._identity = identity
        self._clock = clock
        self._recorder = recorder

    def open(self, request_id: str) -> Trace:
        """Start to trace a request that arrives now."""
        clock = self._clock
        return Trace(request_id, clock.wall(), clock.monotonic())

    def close(self, trace: Trace, response: web.StreamResponse | None) -> None:
        """Log and count a request that ended.

        :param response: None where the caller left or the gateway failed.
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
