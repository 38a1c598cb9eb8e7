"""Connections to the ports of a host, and the responses of their library.

The library that reads requests answers some by itself: those that it can't
parse, and those whose handler raised an error. No handler sees them, so they
are logged and counted here.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from aiohttp import web

from crocusshunt.front._connection_bounds import ConnectionBounds
from crocusshunt.front._ingress import Ingress, Port
from crocusshunt.front._request_parser import RequestParser
from crocusshunt.front._waiting_heads import count_pieces, measure_head
from crocusshunt.http1 import ReadLimits
from crocusshunt.ingress import Account
from crocusshunt.logs import log_event


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
        self._ingress = server.ingress
        self._parser: Any = RequestParser(self, self._loop, server.get_limits)
        # Parts of requests that were parsed, and those counted before.
        self._step_count = 0
        # Whether received bytes are left to be parsed in a later turn.
        self._is_behind = False
        self._bounds: ConnectionBounds | None = None
        # The library forgets its own reference when it closes a connection.
        self._own_transport: asyncio.Transport | None = None
        # The request whose response is not written yet.
        self._current_message: Any = None

    @property
    def account(self) -> Account | None:
        """Return what counts the kept bytes, None before the connection."""
        return None if self._bounds is None else self._bounds.account

    @property
    def is_idle(self) -> bool:
        """Tell whether no request has begun and no answer is unsent."""
        transport = self._own_transport
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        if transport is None or self._messages or not is_waiting:
            return False
        return not transport.get_write_buffer_size()

    @property
    def is_delivered(self) -> bool:
        """Tell whether the peer has received all that was written."""
        return True

    @property
    def is_in_head(self) -> bool:
        """Tell whether a head has begun that isn't whole."""
        return self._parser is not None and self._parser.is_in_head

    @property
    def is_in_body(self) -> bool:
        """Tell whether more of a request's body must come from the caller."""
        parser = self._parser
        if parser is None or self._reading_paused or self._is_behind:
            return False
        return bool(parser.is_in_body)

    @property
    def is_closed_by_host(self) -> bool:
        """Tell whether the connection is closing."""
        transport = self._own_transport
        return self._force_close or transport is None or transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count a new connection, for which another one may have to go."""
        self._own_transport = cast(asyncio.Transport, transport)
        super().connection_made(transport)
        self._bounds = ConnectionBounds(
            self, self._port, self._ingress, self._own_transport.abort
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection made the host keep."""
        super().connection_lost(exc)
        if self._bounds is not None:
            self._bounds.close()
        self._own_transport = None

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, and what is left of them in later turns."""
        super().data_received(received)
        parser = self._parser
        if parser is None or self._bounds is None:
            return
        self._bounds.note_received(count_kept(self), self._messages)
        steps = parser.step_count - self._step_count
        self._step_count = parser.step_count
        delay_s = self._bounds.reserve_steps(steps, len(received))
        if self._close or self._force_close:
            return
        if self._is_behind or not (delay_s or parser.has_more):
            return
        # Nothing more is received until the rest is parsed in a later turn.
        self._is_behind = True
        self._pause_transport_reading()
        self._loop.call_later(delay_s, self._catch_up)

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
        if self._parser is None:
            return
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
        ingress: Ingress,
        **options: Any,
    ) -> None:
        """Pass each request to a handler.

        :param get_limits: called for each request.
        :param ingress: bounds what callers make the host keep.
        :param options: options of aiohttp's server and of its connections.
        """
        super().__init__(handler, **options)
        self.port = port
        self.library_responses = library_responses
        self.get_limits = get_limits
        self.ingress = ingress


def count_kept(connection: HostConnection) -> int:
    """Return the bytes to be parsed, and those of the request under way."""
    current = connection._current_request  # noqa: SLF001
    content = None if current is None else current.content
    parser = connection._parser  # noqa: SLF001
    held = 0 if parser is None else int(parser.held_bytes)
    message = connection._current_message  # noqa: SLF001
    head = 0 if message is None else measure_head(message)
    return held + head + count_pieces(content)
