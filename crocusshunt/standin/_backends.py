"""Stand-in for a backend server that injects faults on request."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec
from aiohttp import web

from crocusshunt.routing import Server
from crocusshunt.web import HttpService, json_response

_MAX_BODY_BYTES = 67_108_864
_REQUEST_ID_HEADER = 'X-Request-Id'
_IDEMPOTENCY_HEADER = 'Idempotency-Key'
_MILLISECONDS = 1000
_HANG_S = 3600
_STATUS_UNAVAILABLE = 503
_PARTIAL_BODY = b'part of an answer'
_UNFRAMED_RESPONSE = b'HTTP/1.1 200 OK\r\n\r\npart of an answer'


class Fault(str, Enum):
    """How a server fails to answer a request properly.

    * ``die_before``: it runs the request and resets the connection without a
      response.
    * ``die_during``, ``short_body``: it closes the connection after a part
      of the body.
    * ``die_after``: it resets the connection after the whole response.
    * ``hang``: it runs the request and does not answer.
    * ``overlong_body``: it sends more bytes than ``Content-Length`` says.
    * ``other_answer``: the response carries the id of another request.
    * ``unframed``: the response tells neither length nor chunks.
    * ``shed``: it answers 503 and tells that it did not run the request.
    """

    none = 'none'
    die_before = 'die-before'
    die_during = 'die-during'
    die_after = 'die-after'
    hang = 'hang'
    short_body = 'short-body'
    overlong_body = 'overlong-body'
    other_answer = 'other-answer'
    unframed = 'unframed'
    shed = 'shed'


@dataclass(slots=True)
class BackendSwitches:
    """Faults of one server, set over HTTP.

    :param fault: what is done with each request that has no query parameter
        ``fault``; that parameter takes precedence.
    :param poison: a request whose body holds this text crashes the server;
        empty for none.
    :param delay_s: delay before each response, in seconds.
    :param echoes: whether responses carry the id of their request.
    """

    fault: Fault = Fault.none
    poison: str = ''
    delay_s: float = 0
    echoes: bool = True


class RunCounter:
    """Counts the runs of each request id and of each idempotency key.

    Backend servers may share one counter.
    """

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.runs: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A request as a backend server received it; sent back as the response.

    :param headers: pairs of name and value, in the order received.
    :param customer: value of the header ``X-Customer``.
    :param runs: number of runs of this request id so far, this one included.
    """

    server: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: str
    customer: str
    request_id: str
    runs: int


class BackendService(HttpService):
    """Answers each request with what it received, and counts runs.

    The query parameter ``sleep_ms`` delays the response by as many
    milliseconds.
    """

    def __init__(self, name: str, host: str, port: int) -> None:
        """Create a server that is not yet started.

        :param name: name of the backend server.
        """
        super().__init__(host, port)
        self.name = name
        self.counter = RunCounter()
        self.switches = BackendSwitches()
        self.received = 0
        self.running = 0
        self.crashes = 0

    def create_application(self) -> web.Application:
        """Return an application that answers every path."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        application.router.add_get('/standin/runs', self._show_runs)
        application.router.add_put('/standin/switches', self._set_switches)
        application.router.add_route('*', '/{path:.*}', self._answer)
        return application

    async def run(self, request: web.Request) -> web.Response:
        """Count a run of the request and return the normal response."""
        request_id = request.headers.get(_REQUEST_ID_HEADER, '')
        body = await request.read()
        self.counter.runs[request_id] += 1
        self.counter.keys[request.headers.get(_IDEMPOTENCY_HEADER, '')] += 1
        if self.switches.poison and self.switches.poison.encode() in body:
            self.crashes += 1
            _abort(request)
        await asyncio.sleep(self._read_delay(request))
        return json_response(
            ReceivedRequest(
                server=self.name,
                method=request.method,
                path=request.path_qs,
                headers=tuple(
                    (str(name), text) for name, text in request.headers.items()
                ),
                body=body.decode(errors='replace'),
                customer=request.headers.get('X-Customer', ''),
                request_id=request_id,
                runs=self.counter.runs[request_id],
            ),
            headers=self.echo(request),
        )

    def echo(self, request: web.Request) -> dict[str, str]:
        """Return the headers that identify the request in its response."""
        request_id = request.headers.get(_REQUEST_ID_HEADER, '')
        if not self.switches.echoes or not request_id:
            return {}
        return {_REQUEST_ID_HEADER: request_id}

    async def _show_runs(self, request: web.Request) -> web.Response:
        return json_response(dict(self.counter.runs))

    async def _set_switches(self, request: web.Request) -> web.Response:
        self.switches = msgspec.json.decode(
            await request.read(),
            type=BackendSwitches,
        )
        return json_response(self.switches)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self.received += 1
        self.running += 1
        try:
            return await _FAULTS[self._find_fault(request)](self, request)
        finally:
            self.running -= 1

    def _find_fault(self, request: web.Request) -> Fault:
        asked = request.query.get('fault', '')
        known = frozenset(fault.value for fault in Fault)
        return Fault(asked) if asked in known else self.switches.fault

    def _read_delay(self, request: web.Request) -> float:
        text = request.query.get('sleep_ms', '0')
        asked_s = int(text) / _MILLISECONDS if text.isdecimal() else 0
        return asked_s + self.switches.delay_s


_FaultHandler = Callable[
    [BackendService, web.Request],
    Awaitable[web.StreamResponse],
]
_FAULTS: dict[Fault, _FaultHandler] = {Fault.none: BackendService.run}


def _register_fault(fault: Fault) -> Callable[[_FaultHandler], _FaultHandler]:
    def register(function: _FaultHandler) -> _FaultHandler:
        _FAULTS[fault] = function
        return function

    return register


@_register_fault(Fault.die_before)
async def _die_before(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    _abort(request)
    return web.Response()


@_register_fault(Fault.die_during)
@_register_fault(Fault.short_body)
async def _die_during(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    response = web.StreamResponse(headers=service.echo(request))
    response.content_length = len(_PARTIAL_BODY) * 2
    await response.prepare(request)
    await response.write(_PARTIAL_BODY)
    if request.transport is not None:
        request.transport.close()
    return response


@_register_fault(Fault.die_after)
async def _die_after(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    response = await service.run(request)
    await response.prepare(request)
    await response.write_eof()
    _abort(request)
    return response


@_register_fault(Fault.hang)
async def _hang(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    await asyncio.sleep(_HANG_S)
    return web.Response()


@_register_fault(Fault.overlong_body)
async def _answer_overlong(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    response = await service.run(request)
    await response.prepare(request)
    await response.write_eof()
    if request.transport is not None:
        request.transport.write(_PARTIAL_BODY)
    return response


@_register_fault(Fault.other_answer)
async def _answer_other(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    response = await service.run(request)
    response.headers[_REQUEST_ID_HEADER] = 'req-of-another'
    return response


@_register_fault(Fault.unframed)
async def _answer_unframed(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    if request.transport is not None:
        request.transport.write(_UNFRAMED_RESPONSE)
        request.transport.close()
    return web.Response()


@_register_fault(Fault.shed)
async def _shed(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    return web.Response(
        status=_STATUS_UNAVAILABLE,
        headers={'X-Overloaded': 'not-run', **service.echo(request)},
    )


def create_backends(servers: Iterable[Server]) -> tuple[BackendService, ...]:
    """Return a stand-in for each server, to listen on its address."""
    created = []
    for server in servers:
        host, _separator, port = server.address.rpartition(':')
        created.append(BackendService(server.name, host, int(port)))
    return tuple(created)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
