"""Stand-in for the platform over HTTP."""

from typing import Any

import msgspec
from aiohttp import web
from result import Err, Result

from crocusshunt.standin._memory import MemoryPlatform, PlatformSwitches
from crocusshunt.store import (
    HostEntry,
    Query,
    StoreConflictError,
    StoredRow,
    StoreError,
    StoreUnknownOutcomeError,
    Write,
)
from crocusshunt.web import HttpService, json_response

_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503
_MAX_BODY_BYTES = 67_108_864


class PlatformService(HttpService):
    """Serves a platform in memory over HTTP.

    ``PUT /standin/hosts`` sets its list of hosts, ``PUT /standin/switches``
    its faults.
    """

    def __init__(self, host: str, port: int) -> None:
        """Create a service for an empty platform."""
        super().__init__(host, port)
        self.platform = MemoryPlatform()

    def create_application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        routes = application.router
        routes.add_get('/v1/row', self._read)
        routes.add_get('/v1/rows', self._query)
        routes.add_post('/v1/transactions', self._transact)
        routes.add_get('/v1/objects/{name:.+}', self._get_object)
        routes.add_put('/v1/objects/{name:.+}', self._put_object)
        routes.add_get('/v1/hosts', self._list_hosts)
        routes.add_put('/standin/hosts', self._set_hosts)
        routes.add_put('/standin/switches', self._set_switches)
        return application

    async def _read(self, request: web.Request) -> web.Response:
        found = await self.platform.read(
            request.query['table'],
            request.query['key'],
        )
        if not isinstance(found, Err) and found.ok_value is None:
            return web.Response(status=_STATUS_NOT_FOUND)
        return _respond(request, found)

    async def _query(self, request: web.Request) -> web.Response:
        query = Query(
            request.query['table'],
            request.query['after'],
            int(request.query['limit']),
        )
        return _respond(request, await self.platform.query(query))

    async def _transact(self, request: web.Request) -> web.Response:
        writes = msgspec.json.decode(
            await request.read(),
            type=tuple[Write, ...],
        )
        return _respond(request, await self.platform.transact(writes))

    async def _get_object(self, request: web.Request) -> web.Response:
        found = await self.platform.get_object(request.match_info['name'])
        if isinstance(found, Err):
            return _respond(request, found)
        if found.ok_value is None:
            return web.Response(status=_STATUS_NOT_FOUND)
        return web.Response(body=found.ok_value)

    async def _put_object(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        body = await request.read()
        return _respond(request, await self.platform.put_object(name, body))

    async def _list_hosts(self, request: web.Request) -> web.Response:
        return _respond(request, await self.platform.list_hosts())

    async def _set_hosts(self, request: web.Request) -> web.Response:
        self.platform.hosts = msgspec.json.decode(
            await request.read(),
            type=tuple[HostEntry, ...],
        )
        return json_response(self.platform.hosts)

    async def _set_switches(self, request: web.Request) -> web.Response:
        self.platform.switches = msgspec.json.decode(
            await request.read(),
            type=PlatformSwitches,
        )
        return json_response(self.platform.switches)


def _respond(
    request: web.Request,
    outcome: Result[Any, StoreError],
) -> web.Response:
    if not isinstance(outcome, Err):
        return json_response(outcome.ok_value)
    error = outcome.err_value
    if isinstance(error, StoreConflictError):
        found = StoredRow(error.table, error.key, error.version, '')
        return json_response(found, _STATUS_CONFLICT)
    if isinstance(error, StoreUnknownOutcomeError) and request.transport:
        request.transport.abort()
    return web.Response(status=_STATUS_UNAVAILABLE)
