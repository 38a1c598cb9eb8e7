"""Registry of the operators' endpoints, and their authorisation."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web
from result import Err, Result

from crocusshunt.api._responses import respond_error
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
from crocusshunt.replication import Feed, SnapshotArchive, StorePoller
from crocusshunt.store import Platform

_STATUS_UNAUTHORIZED = 401
_STATUS_FORBIDDEN = 403
_BOOTSTRAP_NAME = 'bootstrap'
_BEARER = 'Bearer '


@dataclass(frozen=True, slots=True)
class ApiContext:
    """Components of the API process that endpoints use."""

    settings: ApiSettings
    clock: Clock
    platform: Platform
    repository: Repository
    feed: Feed
    store_poller: StorePoller
    archive: SnapshotArchive


@dataclass(frozen=True, slots=True)
class Call:
    """An authorised call of an operator."""

    request: web.Request
    operator: Operator
    context: ApiContext


Handler = Callable[[Call], Awaitable[web.Response]]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An HTTP endpoint.

    :param method: HTTP method.
    :param path: path pattern in the syntax of aiohttp routes.
    :param needed: least role that may call the endpoint.
    :param handler: function that answers authorised calls.
    """

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
    """Return a decorator that registers a function as an endpoint.

    :param method: HTTP method.
    :param path: path pattern in the syntax of aiohttp routes.
    :param needed: least role that may call the endpoint.
    """

    def register(handler: Handler) -> Handler:
        _ENDPOINTS.append(Endpoint(method, path, needed, handler))
        return handler

    return register


def list_endpoints() -> tuple[Endpoint, ...]:
    """Return all registered endpoints."""
    return tuple(_ENDPOINTS)


def add_endpoint_routes(routes: web.UrlDispatcher, context: ApiContext) -> None:
    """Add a route for each registered endpoint to an application."""
    for endpoint in _ENDPOINTS:
        routes.add_route(
            endpoint.method,
            endpoint.path,
            _require_role(endpoint, context),
        )


def check_role(call: Call, needed: Role) -> web.Response | None:
    """Check whether the operator of a call has a role.

    Endpoints use it for calls that need a higher role than the endpoint.

    :param needed: least role that may make this call.
    :return: the error response, None if the call is allowed.
    """
    operator = _authorize(call.request, needed, call.context)
    if isinstance(operator, Err):
        return _respond_refusal(operator.err_value)
    return None


def _respond_refusal(error: OperatorError) -> web.Response:
    is_unknown = isinstance(error, UnknownOperatorError)
    status = _STATUS_UNAUTHORIZED if is_unknown else _STATUS_FORBIDDEN
    return respond_error(error, status)


def _require_role(
    endpoint: Endpoint,
    context: ApiContext,
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def authorize(request: web.Request) -> web.Response:
        operator = _authorize(request, endpoint.needed, context)
        if isinstance(operator, Err):
            return _respond_refusal(operator.err_value)
        call = Call(request, operator.ok_value, context)
        return await endpoint.handler(call)

    return authorize


def _authorize(
    request: web.Request,
    needed: Role,
    context: ApiContext,
) -> Result[Operator, OperatorError]:
    key = request.headers.get('Authorization', '').removeprefix(_BEARER)
    rows = context.feed.configuration.tables.select(Operator)
    digest = context.settings.api.bootstrap_digest
    # Without any operator, the bootstrap key may create the first ones.
    if not rows and digest:
        rows = (Operator(_BOOTSTRAP_NAME, Role.administer, digest),)
    return OperatorAuthorizer(rows).authorize(key, needed)
