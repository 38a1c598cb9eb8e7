"""What processes the requests of callers' connections."""

from typing import Protocol

from aiohttp import web

from crocusshunt.front._in_flight import InFlight
from crocusshunt.front._startable import WaitingRequest


class Responder(Protocol):
    """Processes requests, whatever connection they come from."""

    @property
    def in_flight(self) -> InFlight:
        """Return the counter of requests in flight."""

    async def respond(self, request: web.BaseRequest) -> web.Response:
        """Return the response to one request."""

    def is_repeatable(self, request: web.BaseRequest) -> bool:
        """Tell whether a request may be executed more than once."""


def describe(responder: Responder, request: web.BaseRequest) -> WaitingRequest:
    """Return what decides whether a request may begin before its turn."""
    return WaitingRequest(
        request.content.is_eof(),
        responder.is_repeatable(request),
        not request.keep_alive,
    )
