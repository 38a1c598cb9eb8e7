"""Answers to callers that ask where to connect, and to readiness checks."""

from typing import Any

from aiohttp import web

from crocusshunt.core import Clock
from crocusshunt.fleet import FleetView
from crocusshunt.front._readiness import Readiness
from crocusshunt.web import json_response

_MAX_ENTRIES = 64
_TTL_S = 2
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_UNAVAILABLE = 503


class Directory:
    """Names the hosts nearest to a caller."""

    def __init__(
        self,
        fleet: FleetView,
        readiness: Readiness,
        clock: Clock,
        max_ttl_s: float,
    ) -> None:
        """Use the view of a host."""
        self._fleet = fleet
        self._readiness = readiness
        self._clock = clock
        self._ttl_s = min(_TTL_S, max_ttl_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a look-up."""
        if request.path != '/resolve':
            return web.Response(status=_STATUS_NOT_FOUND)
        entries = self._fleet.find_front_addresses(
            request.query.get('zone', ''),
            request.query.get('region', ''),
            self._clock.monotonic(),
            is_ready=self._readiness.is_ready,
        )
        if not entries:
            return web.Response(status=_STATUS_UNAVAILABLE)
        answer: dict[str, Any] = {
            'addresses': entries[:_MAX_ENTRIES],
            'ttl_s': self._ttl_s,
        }
        return json_response(answer)


class ReadyCheck:
    """Tells whether this host takes requests."""

    def __init__(self, readiness: Readiness) -> None:
        """Use the state of a host."""
        self._readiness = readiness

    async def handle(self, _request: web.BaseRequest) -> web.StreamResponse:
        """Answer a readiness check."""
        if self._readiness.is_ready:
            return web.Response(status=_STATUS_OK)
        return web.Response(status=_STATUS_UNAVAILABLE)
