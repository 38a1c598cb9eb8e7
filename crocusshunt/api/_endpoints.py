"""Registry of the operators' endpoints, and who may call them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web
from result import Err, Result

from crocusshunt.api._answers import respond_error
from crocusshunt.api._settings import ApiSettings
from crocusshunt.configuration import Repository
from crocusshunt.core import Clock
from crocusshunt.operators import (
    Operator,
    OperatorAuthorizer,
    OperatorError,
    Role,
    UnknownOperatorError,
)
from crocusshunt.replication import SnapshotArchive, Feed, StorePoller
from crocusshunt.store import Platform

_STATUS_UNAUTHORIZED = 401
_STATUS_FORBIDDEN = 403
_BOOTSTRAP_NAME = 'bootstrap'
_BEARER = 'Bearer '


@dataclass(frozen=True, slots=True)
class ApiParts:
    """Parts of the process that endpoints use."""

    settings: ApiSettings
    clock: Clock
    platform: Platform
    repository: Repository
    feed: Feed
    origin: StorePoller
    archive: SnapshotArchive


@dataclass(frozen=True, slots=True)
class Call:
    """One authorised call of an operator."""

    request: web.Request
    operator: Operator
    parts: ApiParts


Handler = Callable[[Call], Awaitable[web.Response]]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A method and path, and the least role that may call it."""

    method: str
    path: str
    needed: Role
    handler: Handler


_ENDPOINTS: list[Endpoint] = []


def register_endpoint(
    method: str,
    path: str,
    needed: Role,
) -> Callable[[Handler], Handler]:
    """Return a decorator that serves a method and path by a function.

    :param path: path in the form that aiohttp routes.
    :param needed: least role that may call the endpoint.
    """

    def register(handler: Handler) -> Handler:
        _ENDPOINTS.append(Endpoint(method, path, needed, handler))
        return handler

    return register


def list_endpoints() -> tuple[Endpoint, ...]:
    """Return all registered endpoints."""
    return tuple(_ENDPOINTS)


def route_endpoints(routes: web.UrlDispatcher, parts: ApiParts) -> None:
    """Serve all registered endpoints."""
    for endpoint in _ENDPOINTS:
        routes.add_route(
            endpoint.method,
            endpoint.path,
            _guard(endpoint, parts),
        )


def refuse_role(call: Call, needed: Role) -> web.Response | None:
    """Return the refusal of a call that needs more than its endpoint does.

    :param needed: least role that may make this call.
    """
    operator = _authorize(call.request, needed, call.parts)
    if isinstance(operator, Err):
        return _respond_refusal(operator.err_value)
    return None


def _respond_refusal(error: OperatorError) -> web.Response:
    is_unknown = isinstance(error, UnknownOperatorError)
    status = _STATUS_UNAUTHORIZED if is_unknown else _STATUS_FORBIDDEN
    return respond_error(error, status)


def _guard(
    endpoint: Endpoint,
    parts: ApiParts,
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def authorize(request: web.Request) -> web.Response:
        operator = _authorize(request, endpoint.needed, parts)
        if isinstance(operator, Err):
            return _respond_refusal(operator.err_value)
        call = Call(request, operator.ok_value, parts)
        return await endpoint.handler(call)

    return authorize


def _authorize(
    request: web.Request,
    needed: Role,
    parts: ApiParts,
) -> Result[Operator, OperatorError]:
    key = request.headers.get('Authorization', '').removeprefix(_BEARER)
    rows = parts.feed.configuration.tables.select(Operator)
    digest = parts.settings.api.bootstrap_digest
    if not rows and digest:
        rows = (Operator(_BOOTSTRAP_NAME, Role.administer, digest),)
    return OperatorAuthorizer(rows).authorize(key, needed)
