"""One request of a caller, from its first byte to its outcome."""

from dataclasses import dataclass

from aiohttp import ClientResponse, web
from result import Err, Result

from crocusshunt.core import Clock, Identifiers, parse_address
from crocusshunt.delivery import (
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    Attempt,
    Forwarder,
    ForwardRequest,
    NotRun,
    Outcome,
    ServerLoads,
    UnknownOutcome,
    choose_server,
    describe_failure,
    find_keys,
    prepare_answer_headers,
    prepare_request_headers,
    strip_keys_from_query,
)
from crocusshunt.gateway._admission import Admission, Ask, Gatekeeper
from crocusshunt.gateway._limits import Limiter
from crocusshunt.logs import log_event
from crocusshunt.routing import RetryClass, Server
from crocusshunt.services import json_response

_MILLISECONDS = 1000
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
_MAX_ATTEMPTS = 2
_ROOM_RETRY_S = 1


@dataclass(frozen=True, slots=True)
class Desk:
    """Parts that every request passes through."""

    gatekeeper: Gatekeeper
    limiter: Limiter
    forwarder: Forwarder
    loads: ServerLoads


@dataclass(frozen=True, slots=True)
class _Job:
    request: web.Request
    request_id: str
    admission: Admission
    deadline: float


class _Reply:
    """The caller's side of the answer."""

    def __init__(self, request: web.Request, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self.response: web.StreamResponse | None = None

    async def relay(self, answer: ClientResponse) -> None:
        """Stream an answer to the caller."""
        headers = prepare_answer_headers(answer.headers)
        headers[REQUEST_ID_HEADER] = self._request_id
        self.response = web.StreamResponse(
            status=answer.status,
            reason=answer.reason,
            headers=headers,
        )
        await self.response.prepare(self._request)
        async for chunk in answer.content.iter_any():
            await self.response.write(chunk)
        await self.response.write_eof()


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
        started_at = self._clock.monotonic()
        admission = await self._admit(request)
        if isinstance(admission, Err):
            return _respond(admission.err_value, request_id)
        route = admission.ok_value.route
        job = _Job(
            request=request,
            request_id=request_id,
            admission=admission.ok_value,
            deadline=started_at + route.deadline_ms / _MILLISECONDS,
        )
        return await self._deliver(job)

    async def _admit(self, request: web.Request) -> Result[Admission, NotRun]:
        client = parse_address(request.remote or '')
        if isinstance(client, Err):
            return Err(_refuse_client(client.err_value.describe()))
        ask = Ask(
            host=request.host.partition(':')[0],
            path=request.rel_url.raw_path,
            method=request.method,
            client=client.ok_value,
            keys=find_keys(request.headers, request.rel_url.raw_query_string),
        )
        admission = self._desk.gatekeeper.admit(ask)
        if isinstance(admission, Err) or not admission.ok_value.customer:
            return admission
        token = await self._desk.limiter.take(admission.ok_value.customer)
        return token.and_then(lambda _taken: admission)

    async def _deliver(self, job: _Job) -> web.StreamResponse:
        reply = _Reply(job.request, job.request_id)
        outcome: Outcome = _refuse_room()
        tried: frozenset[str] = frozenset()
        for _ in range(_MAX_ATTEMPTS):
            server = self._choose(job, tried)
            if server is None:
                break
            tried |= {server.name}
            outcome = await self._attempt(job, server, reply)
            if not _is_retryable(outcome, job):
                break
        log_event(
            'request ended',
            request_id=job.request_id,
            route=job.admission.route.name,
            customer=job.admission.customer,
            outcome=type(outcome).__name__,
        )
        if isinstance(outcome, NotRun | UnknownOutcome):
            return _respond(outcome, job.request_id)
        assert reply.response is not None  # noqa: S101
        return reply.response

    def _choose(self, job: _Job, tried: frozenset[str]) -> Server | None:
        pool = job.admission.route.pool
        servers = self._desk.gatekeeper.servers.get(pool, ())
        untried = [server for server in servers if server.name not in tried]
        return choose_server(
            untried,
            self._desk.loads,
            self._identifiers.source,
        )

    async def _attempt(
        self,
        job: _Job,
        server: Server,
        reply: _Reply,
    ) -> Outcome:
        self._desk.loads.acquire(server)
        try:
            return await self._desk.forwarder.send(
                Attempt(server, self._prepare(job), reply.relay),
            )
        finally:
            self._desk.loads.release(server)

    def _prepare(self, job: _Job) -> ForwardRequest:
        request = job.request
        remaining = max(0, job.deadline - self._clock.monotonic())
        added = (
            (REQUEST_ID_HEADER, job.request_id),
            (CUSTOMER_HEADER, job.admission.customer),
            (DEADLINE_HEADER, str(int(remaining * _MILLISECONDS))),
        )
        query = strip_keys_from_query(request.rel_url.raw_query_string)
        separator = '?' if query else ''
        return ForwardRequest(
            method=request.method,
            target=f'{request.rel_url.raw_path}{separator}{query}',
            headers=prepare_request_headers(request.headers, added),
            body=request.content.iter_any() if request.can_read_body else None,
            timeout_s=remaining,
            idempotent=job.admission.route.idempotent,
        )


def _is_retryable(outcome: Outcome, job: _Job) -> bool:
    if job.request.can_read_body:
        return False
    retry = job.admission.route.retry
    if isinstance(outcome, NotRun):
        return retry is not RetryClass.never
    if isinstance(outcome, UnknownOutcome):
        return retry is RetryClass.idempotent
    return False


def _refuse_client(detail: str) -> NotRun:
    return NotRun('invalid-client', _STATUS_BAD_REQUEST, detail)


def _refuse_room() -> NotRun:
    return NotRun(
        'no-room',
        _STATUS_UNAVAILABLE,
        'no backend server of the pool has room',
        _ROOM_RETRY_S,
    )


def _respond(
    failure: NotRun | UnknownOutcome,
    request_id: str,
) -> web.Response:
    headers = {REQUEST_ID_HEADER: request_id}
    if isinstance(failure, NotRun) and failure.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(failure.retry_after_s)))
    problem = describe_failure(failure, request_id)
    return json_response(problem, failure.status, headers)
