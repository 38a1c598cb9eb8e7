"""HTTP service of the locator."""

from typing import Any

from aiohttp import web
from result import Err

from crocusshunt.core import Clock, CrocusError
from crocusshunt.locator._clients import Origin, find_client
from crocusshunt.locator._lookups import (
    LookupAnswer,
    LookupQuestion,
    Lookups,
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
    """Answers look-ups from local state alone."""

    def __init__(self, settings: LocatorSettings, clock: Clock) -> None:
        """Assemble the parts; nothing runs yet."""
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
        self.lookups = Lookups(self.hosts, settings.locator.lifetime_s)
        self.feed.add_listener(self.lookups.accept)

    def create_application(self) -> web.Application:
        """Return the look-up application."""
        application = web.Application()
        application.router.add_get('/v1/lookup', self._answer)
        return application

    async def start(self) -> None:
        """Follow the controller and listen."""
        self._tasks.start(self._follower.run())
        self._tasks.start(self.hosts.run())
        await super().start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Close the server, then stop following."""
        await super().stop(exception)
        await self._tasks.stop()
        self._requesters.close()

    async def _answer(self, request: web.Request) -> web.Response:
        origin = Origin(
            request.remote or '',
            request.headers.get('X-Forwarded-For', ''),
            request.query.get('client', ''),
        )
        client = find_client(origin, self._settings.trusted_forwarders)
        if isinstance(client, Err):
            return _refuse(client.err_value)
        answer = self.lookups.answer(
            LookupQuestion(
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
