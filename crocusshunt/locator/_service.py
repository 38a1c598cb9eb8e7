"""HTTP service of the locator."""

from typing import Any

import msgspec
from aiohttp import web
from result import Err, Result

from crocusshunt.configuration import Configuration
from crocusshunt.membership import HostTable
from crocusshunt.core import (
    Clock,
    InvalidAddressError,
    IPAddress,
    parse_address,
)
from crocusshunt.locator._settings import LocatorSettings
from crocusshunt.messages import RequesterPool
from crocusshunt.replication import Feed, Follower, FollowerSettings
from crocusshunt.routing import Block, Link
from crocusshunt.services import HttpService, TaskGroup, json_response
from crocusshunt.steering import (
    BlockTable,
    Caller,
    Directory,
    measure_delays,
    rank_hosts,
)

_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
_LISTED_HOSTS = 4


class ListedHost(msgspec.Struct, frozen=True):
    """An entry host in an answer."""

    name: str
    region: str
    failure_domain: str
    url: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """Entry hosts in the order in which a caller should try them.

    :param lifetime_s: how long the answer may be kept, in seconds.
    """

    hosts: tuple[ListedHost, ...]
    lifetime_s: int
    revision: int


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
        self._blocks = BlockTable(())
        self._delays = measure_delays(())
        self.feed.listen(self._rebuild)

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

    def _rebuild(self, configuration: Configuration) -> None:
        tables = configuration.tables
        self._blocks = BlockTable(tables.select(Block))
        self._delays = measure_delays(tables.select(Link))

    async def _answer(self, request: web.Request) -> web.Response:
        client = self._find_client(request)
        if isinstance(client, Err):
            error = client.err_value
            return json_response(
                {'code': error.code, 'detail': error.describe()},
                _STATUS_BAD_REQUEST,
            )
        address = client.ok_value
        caller = Caller(str(address), self._blocks.find_region(address))
        directory = Directory(self.hosts.hosts, self._delays)
        hosts = rank_hosts(directory, caller)[:_LISTED_HOSTS]
        if not hosts:
            return json_response(
                {'code': 'no-hosts', 'detail': 'no entry host is known'},
                _STATUS_UNAVAILABLE,
                {'Retry-After': '1'},
            )
        listed = tuple(
            ListedHost(
                host.name,
                host.region,
                host.failure_domain,
                host.gateway,
            )
            for host in hosts
        )
        lifetime = self._settings.lifetime_s
        revision = self.feed.configuration.revision
        return json_response(
            LookupAnswer(listed, lifetime, revision),
            headers={'Cache-Control': f'private, max-age={lifetime}'},
        )

    def _find_client(
        self,
        request: web.Request,
    ) -> Result[IPAddress, InvalidAddressError]:
        peer = request.remote or ''
        forwarded = request.headers.get('X-Forwarded-For', '')
        if forwarded and peer in self._settings.trusted_forwarders:
            return parse_address(forwarded.split(',')[-1].strip())
        return parse_address(peer)
