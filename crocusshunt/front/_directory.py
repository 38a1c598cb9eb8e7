"""HTTP handlers for host lookups and readiness checks."""

from typing import Any

from aiohttp import web

from crocusshunt.core import Clock
from crocusshunt.fleet import FleetView, OwnState, find_front_addresses
from crocusshunt.front._readiness import Readiness
from crocusshunt.front._readiness_watch import LastingObstacle, ReadinessWatch
from crocusshunt.front._server_reach import ServerReach
from crocusshunt.web import json_response

_MAX_ENTRIES = 64
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_UNAVAILABLE = 503


class Directory:
    """Answers lookups with the addresses of the hosts nearest to a caller."""

    def __init__(
        self,
        fleet: FleetView,
        readiness: Readiness,
        reach: ServerReach,
        clock: Clock,
        max_ttl_s: float,
    ) -> None:
        """Answer from one host's view of all hosts.

        :param max_ttl_s: longest time a caller may cache an answer.
        """
        self._fleet = fleet
        self._readiness = readiness
        self._reach = reach
        self._clock = clock
        self._ttl_s = max_ttl_s

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a lookup of the hosts for a zone and region."""
        if request.path != '/resolve':
            return web.Response(status=_STATUS_NOT_FOUND)
        entries = find_front_addresses(
            self._fleet,
            OwnState(self._readiness.is_ready, self._reach.is_cut_off),
            request.query.get('zone', ''),
            request.query.get('region', ''),
            self._clock.monotonic(),
        )
        if not entries:
            return web.Response(status=_STATUS_UNAVAILABLE)
        body: dict[str, Any] = {
            'addresses': entries[:_MAX_ENTRIES],
            'ttl_s': self._ttl_s,
        }
        return json_response(body)


class ReadyCheck:
    """Answers readiness checks of this host."""

    def __init__(self, watch: ReadinessWatch) -> None:
        """Report the readiness of one host."""
        self._watch = watch

    async def handle(self, _request: web.BaseRequest) -> web.StreamResponse:
        """Return status 200 if the host accepts requests, else 503.

        The body of a 503 lists what keeps it from doing so, and for how long.
        """
        lasting = self._watch.list_obstacles()
        if not lasting:
            return web.Response(status=_STATUS_OK)
        obstacles = [_describe_obstacle(one) for one in lasting]
        return json_response({'obstacles': obstacles}, _STATUS_UNAVAILABLE)


def _describe_obstacle(lasting: LastingObstacle) -> dict[str, Any]:
    obstacle = lasting.obstacle
    return {
        'condition': obstacle.condition.value,
        'subject': obstacle.subject,
        'cause': obstacle.cause,
        'age_s': lasting.age_s,
    }
