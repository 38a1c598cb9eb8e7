"""Stand-in of a backend server, with switches for its faults."""

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
_NEVER_S = 3600
_STATUS_UNAVAILABLE = 503
_PART = b'part of an answer'
_UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\npart of an answer'


class Fault(str, Enum):
    """What a server does wrong with a request."""

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
    """Faults of one server; the query parameter ``fault`` sets one more.

    :param poison: a request whose body holds this text crashes the server;
        empty for none.
    :param delay_s: wait before each answer, in seconds.
    :param echoes: whether answers carry the id of their request.
    """

    fault: Fault = Fault.none
    poison: str = ''
    delay_s: float = 0
    echoes: bool = True


class RunCounter:
    """Counts, over all backend servers, runs by request id and by key.

    The key is the idempotency key.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.runs: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()


class ReceivedRequest(msgspec.Struct, frozen=True):
    """What a backend server received, which is also its answer.

    :param headers: pairs of name and text, in their order.
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
    """Answers with what it received, and counts runs.

    The query parameter ``sleep_ms`` delays the answer.
    """

    def __init__(self, name: str, host: str, port: int) -> None:
        """Prepare a server.

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
        """Run a request and return the answer."""
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
        """Return the headers that tie an answer to its request."""
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


_Faulty = Callable[
    [BackendService, web.Request],
    Awaitable[web.StreamResponse],
]
_FAULTS: dict[Fault, _Faulty] = {Fault.none: BackendService.run}


def _register(fault: Fault) -> Callable[[_Faulty], _Faulty]:
    def register(function: _Faulty) -> _Faulty:
        _FAULTS[fault] = function
        return function

    return register


@_register(Fault.die_before)
async def _die_before(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    _abort(request)
    return web.Response()


@_register(Fault.die_during)
@_register(Fault.short_body)
async def _die_during(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    response = web.StreamResponse(headers=service.echo(request))
    response.content_length = len(_PART) * 2
    await response.prepare(request)
    await response.write(_PART)
    if request.transport is not None:
        request.transport.close()
    return response


@_register(Fault.die_after)
async def _die_after(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    response = await service.run(request)
    await response.prepare(request)
    await response.write_eof()
    _abort(request)
    return response


@_register(Fault.hang)
async def _hang(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    await asyncio.sleep(_NEVER_S)
    return web.Response()


@_register(Fault.overlong_body)
async def _answer_overlong(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    response = await service.run(request)
    await response.prepare(request)
    await response.write_eof()
    if request.transport is not None:
        request.transport.write(_PART)
    return response


@_register(Fault.other_answer)
async def _answer_other(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    response = await service.run(request)
    response.headers[_REQUEST_ID_HEADER] = 'req-of-another'
    return response


@_register(Fault.unframed)
async def _answer_unframed(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    await service.run(request)
    if request.transport is not None:
        request.transport.write(_UNFRAMED)
        request.transport.close()
    return web.Response()


@_register(Fault.shed)
async def _shed(
    service: BackendService,
    request: web.Request,
) -> web.StreamResponse:
    return web.Response(
        status=_STATUS_UNAVAILABLE,
        headers={'X-Overloaded': 'not-run', **service.echo(request)},
    )


def create_backends(servers: Iterable[Server]) -> tuple[BackendService, ...]:
    """Return a stand-in for each server, on its declared address."""
    created = []
    for server in servers:
        host, _separator, port = server.address.rpartition(':')
        created.append(BackendService(server.name, host, int(port)))
    return tuple(created)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
