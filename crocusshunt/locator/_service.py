"""HTTP service of the locator."""

from typing import Any

from aiohttp import web
from result import Err

from crocusshunt.core import Clock, CrocusError
from crocusshunt.locator._client_address import (
    LookupOrigin,
    find_client_address,
)
from crocusshunt.locator._lookups import (
    LookupAnswer,
    LookupQuery,
    LookupResolver,
    NoHostsError,
)
from crocusshunt.locator._settings import LocatorSettings
from crocusshunt.membership import HostTable
from crocusshunt.messages import RequesterPool
from crocusshunt.replication import Feed, Follower, FollowerSettings
from crocusshunt.services import TaskGroup
from crocusshunt.web import HttpService, json_response

_STATUS_NOT_MODIFIED = 304
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503


class LocatorService(HttpService):
    """HTTP service that answers look-ups from local state only.

    It follows the configuration and the host list of this host's controller
    in the background, so an answer never waits for another process.
    """

    def __init__(self, settings: LocatorSettings, clock: Clock) -> None:
        """Create the components; ``start`` runs them.

        :param settings: settings of the process.
        :param clock: clock for the configuration feed.
        """
        super().__init__(settings.locator.address, settings.locator.port)
        self._settings = settings.locator
        self._tasks = TaskGroup()
        self._requesters = RequesterPool()
        sources = (settings.locator.controller,)
        self.feed = Feed(clock)
        self.hosts = HostTable(sources, self._requesters)
        self._follower = Follower(
            FollowerSettings(sources),
            self.feed,
            self._requesters,
            clock,
        )
        self.resolver = LookupResolver(self.hosts, settings.locator.lifetime_s)
        self.feed.add_listener(self.resolver.apply_configuration)

    def create_application(self) -> web.Application:
        """Return the HTTP application with the look-up endpoint."""
        application = web.Application()
        application.router.add_get('/v1/lookup', self._answer)
        return application

    async def start(self) -> None:
        """Start to follow the controller, then to listen for requests."""
        self._tasks.start(self._follower.run())
        self._tasks.start(self.hosts.run())
        await super().start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop the HTTP server, then stop following the controller."""
        await super().stop(exception)
        await self._tasks.stop()
        self._requesters.close()

    async def _answer(self, request: web.Request) -> web.Response:
        origin = LookupOrigin(
            request.remote or '',
            request.headers.get('X-Forwarded-For', ''),
            request.query.get('client', ''),
        )
        client = find_client_address(origin, self._settings.trusted_forwarders)
        if isinstance(client, Err):
            return _refuse(client.err_value)
        answer = self.resolver.answer(
            LookupQuery(
                client.ok_value,
                request.query.get('route', ''),
                request.query.get('customer', ''),
            ),
        )
        if isinstance(answer, Err):
            return _refuse(answer.err_value)
        return _respond(answer.ok_value, request)


def _respond(answer: LookupAnswer, request: web.Request) -> web.Response:
    tag = answer.compute_tag()
    headers = {
        'Cache-Control': f'private, max-age={answer.lifetime_s}',
        'ETag': tag,
    }
    if request.headers.get('If-None-Match') == tag:
        return web.Response(status=_STATUS_NOT_MODIFIED, headers=headers)
    return json_response(answer, headers=headers)


def _refuse(error: CrocusError) -> web.Response:
    document = {'code': error.code, 'detail': error.describe()}
    if isinstance(error, NoHostsError):
        headers = {'Retry-After': '1', 'Cache-Control': 'no-store'}
        return json_response(document, _STATUS_UNAVAILABLE, headers)
    headers = {'Cache-Control': 'no-store'}
    return json_response(document, _STATUS_BAD_REQUEST, headers)
