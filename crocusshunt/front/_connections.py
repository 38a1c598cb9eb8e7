"""Connections to the ports of a host, and the responses of their library.

The library that reads requests answers some by itself: those that it can't
parse, and those whose handler raised an error. No handler sees them, so they
are logged and counted here.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from aiohttp import web

from crocusshunt.front._request_parser import RequestParser
from crocusshunt.http1 import ReadLimits
from crocusshunt.logs import log_event


class Port(Enum):
    """What a port of a host is for."""

    callers = 'callers'
    directory = 'directory'
    readiness = 'readiness'
    hosts = 'hosts'
    metrics = 'metrics'


@dataclass(frozen=True, slots=True)
class LibraryResponse:
    """A response that the library made by itself.

    :param cause: kind of the error; its text may hold a caller's key.
    """

    port: Port
    status: int
    cause: str


@dataclass(slots=True)
class LibraryResponses:
    """Counts the responses that the library made, of all ports of a host."""

    counts: Counter[LibraryResponse] = field(default_factory=Counter)

    def note(self, response: LibraryResponse, caller: str | None) -> None:
        """Log and count a response.

        :param caller: address of the peer, None if it is not known any more.
        """
        self.counts[response] += 1
        log_event(
            'request not parsed or handled',
            port=response.port.value,
            status=response.status,
            cause=response.cause,
            caller=caller,
        )


class HostConnection(web.RequestHandler):
    """A connection to one of a host's ports."""

    def __init__(self, server: 'HostServer', **options: Any) -> None:
        """Use the port of a server.

        :param options: options of aiohttp's connections.
        """
        super().__init__(server, **options)
        self._port = server.port
        self._library_responses = server.library_responses
        self._parser: Any = RequestParser(self, self._loop, server.get_limits)
        # Whether received bytes are left to be parsed in a later turn.
        self._is_behind = False

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, and what is left of them in later turns."""
        super().data_received(received)
        if self._is_behind or self._close or self._force_close:
            return
        if not self._parser.has_more:
            return
        self._is_behind = True
        self._pause_transport_reading()
        self._loop.call_soon(self._catch_up)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the library's response to a request, and record it.

        The connection closes after it.

        :raises ConnectionError: another response was begun.
        """
        if request.writer.output_size > 0:
            raise ConnectionError('a response was begun')
        cause = 'timeout' if exc is None else type(exc).__name__
        noted = LibraryResponse(self._port, status, cause)
        self._library_responses.note(noted, request.remote)
        response = web.Response(status=status, text=cause)
        response.force_close()
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; close after it if the body couldn't be read."""
        if request.content.exception() is not None:
            resp.force_close()
        if self._parser is not None:
            self._parser.discard_body(request.content)
        return await super().finish_response(request, resp, start_time)

    def _resume_transport_reading(self) -> None:
        if not self._is_behind:
            super()._resume_transport_reading()

    def _catch_up(self) -> None:
        """Parse more of the bytes that are left."""
        self._is_behind = False
        self.data_received(b'')
        is_held = self._is_behind or self._reading_paused
        if not is_held and not self._buffer_paused:
            self._resume_transport_reading()


class HostServer(web.Server):
    """A server of one of a host's ports."""

    def __init__(
        self,
        handler: Any,
        port: Port,
        library_responses: LibraryResponses,
        get_limits: Callable[[], ReadLimits],
        **options: Any,
    ) -> None:
        """Pass each request to a handler.

        :param get_limits: called for each request.
        :param options: options of aiohttp's server and of its connections.
        """
        super().__init__(handler, **options)
        self.port = port
        self.library_responses = library_responses
        self.get_limits = get_limits

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return HostConnection(self, loop=self._loop, **self._kwargs)
