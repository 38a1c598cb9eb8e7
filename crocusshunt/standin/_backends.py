"""Stand-in of a backend server."""

import asyncio
from collections import Counter
from collections.abc import Iterable

import msgspec
from aiohttp import web

from crocusshunt.routing import Server
from crocusshunt.services import HttpService, json_response

_MAX_BODY_BYTES = 67_108_864


class RunCounter:
    """Counts, over all backend servers, the runs of each request id."""

    def __init__(self) -> None:
        """Start without runs."""
        self.runs: Counter[str] = Counter()


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

    def create_application(self) -> web.Application:
        """Return an application that answers every path."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        application.router.add_get('/standin/runs', self._show_runs)
        application.router.add_route('*', '/{path:.*}', self._answer)
        return application

    async def _show_runs(self, request: web.Request) -> web.Response:
        return json_response(dict(self.counter.runs))

    async def _answer(self, request: web.Request) -> web.Response:
        request_id = request.headers.get('X-Request-Id', '')
        self.counter.runs[request_id] += 1
        body = await request.read()
        await asyncio.sleep(_read_delay(request))
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
        )


def create_backends(servers: Iterable[Server]) -> tuple[BackendService, ...]:
    """Return a stand-in for each server, on its declared address."""
    return tuple(_create_backend(server) for server in servers)


def _create_backend(server: Server) -> BackendService:
    host, _separator, port = server.address.rpartition(':')
    return BackendService(server.name, host, int(port))


def _read_delay(request: web.Request) -> float:
    milliseconds = request.query.get('sleep_ms', '0')
    return int(milliseconds) / 1000 if milliseconds.isdecimal() else 0
