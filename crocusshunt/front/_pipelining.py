"""Pipelined requests: sent on a connection before the first is answered.

aiohttp reads the requests of a connection one after the other, and begins the
next one when the response to the last one was sent. The connections of this
module begin waiting requests early; aiohttp still sends the responses in the
order of the requests.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.http import StreamWriter
from aiohttp.http_parser import RawRequestMessage

from crocusshunt.front._answer_memory import AnswerKeeper
from crocusshunt.front._arrivals import Arrivals
from crocusshunt.front._answering import (
    AnsweringConnection,
    AnsweringServer,
)
from crocusshunt.front._early_shares import EarlyShare, EarlyShares
from crocusshunt.front._responder import Responder, describe
from crocusshunt.front._startable import count_startable

# Requests of one connection that are processed at the same time.
_MAX_CONCURRENT_COUNT = 8
# Requests of one connection that have begun and are not answered.
_MAX_STARTED_COUNT = 32


@dataclass(frozen=True, slots=True)
class _StartedRequest:
    message: RawRequestMessage
    response: asyncio.Task[web.Response]
    share: EarlyShare


class PipelinedConnection(AnsweringConnection):
    """A caller's connection that processes several requests at a time."""

    def __init__(
        self, server: 'PipelinedServer', responder: Responder, **options: Any
    ) -> None:
        """Use the responder of a server.

        :param options: options of aiohttp's connections.
        """
        super().__init__(server, **options)
        self._responder = responder
        self._started: deque[_StartedRequest] = deque()
        self._arrivals = Arrivals()
        # Whether the response that is written belongs to a counted request;
        # those to malformed requests do not.
        self._is_writing = False
        self._early = EarlyShares()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes and begin the requests that may begin."""
        if self.is_lingering:
            return
        super().data_received(received)
        read = (message for message, _payload in self._messages)
        self._arrivals.note(read, self._loop.time())
        self._start_waiting()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel all requests of a caller that has left."""
        super().connection_lost(exc)
        while self._started:
            started = self._started.popleft()
            started.share.end()
            started.response.cancel()
            self._responder.in_flight.end(self)

    async def respond(self, request: web.BaseRequest) -> web.Response:
        """Return the response to the request whose turn it is.

        While the host is stopping, the connection closes after the last
        request that has begun.
        """
        in_flight = self._responder.in_flight
        try:
            response = await self._take_response(request)
        except BaseException:
            in_flight.end(self)
            raise
        if in_flight.is_stopping and not self._started:
            response.force_close()
        self._is_writing = True
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; until then, its request counts as in flight."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            if self._is_writing:
                self._is_writing = False
                self._responder.in_flight.end(self)

    def hold(self, is_full: bool) -> None:
        """Read and begin nothing while the caller has too much to take."""
        super().hold(is_full)
        if not is_full:
            self._start_waiting()

    async def _take_response(self, request: web.BaseRequest) -> web.Response:
        message = request._message  # noqa: SLF001
        if self._started and self._started[0].message is message:
            started = self._started.popleft()
            started.share.end()
            self._start_waiting()
            return await started.response
        self._responder.in_flight.begin(self)
        self._arrivals.take(request)
        self._start_waiting()
        return await self._responder.respond(request)

    def _start_waiting(self) -> None:
        """Begin the waiting requests that may begin."""
        current = self._current_request
        if current is None or not current.keep_alive or self._is_closing:
            return
        if self._memory.is_full:
            return
        known = {id(one.message) for one in self._started}
        waiting = [
            self._create_request(message, payload)
            for message, payload in tuple(self._messages)
            if id(message) not in known
            and isinstance(message, RawRequestMessage)
        ]
        running = sum(not one.response.done() for one in self._started)
        limit = min(
            _MAX_CONCURRENT_COUNT - 1 - running,
            _MAX_STARTED_COUNT - 1 - len(self._started),
            self._ingress.limits.max_early_requests - self._ingress.early_count,
        )
        count = count_startable(
            (describe(self._responder, one) for one in waiting), limit
        )
        for request in waiting[:count]:
            self._start(request)

    @property
    def _is_closing(self) -> bool:
        is_stopping = self._responder.in_flight.is_stopping
        started_last = self._started and self._started[-1].message.should_close
        return bool(
            is_stopping or started_last or self._close or self._force_close
        )

    def _start(self, request: web.BaseRequest) -> None:
        self._responder.in_flight.begin(self)
        self._arrivals.take(request)
        self._ingress.early_count += 1
        share = self._early.open()
        response = self._loop.create_task(
            self._responder.respond(request), context=share.create_context()
        )
        response.add_done_callback(self._note_ready)
        message = request._message  # noqa: SLF001
        self._started.append(_StartedRequest(message, response, share))

    def _note_ready(self, response: asyncio.Task[web.Response]) -> None:
        self._ingress.early_count -= 1
        is_known = any(one.response is response for one in self._started)
        if is_known and not response.cancelled() and not response.exception():
            self._memory.keep(response.result())
        self._start_waiting()

    def _create_request(self, message: Any, payload: Any) -> web.BaseRequest:
        assert self._request_factory is not None  # noqa: S101
        assert self._task_handler is not None  # noqa: S101
        writer = StreamWriter(self, self._loop)
        return self._request_factory(
            message, payload, self, writer, self._task_handler
        )


class PipelinedServer(AnsweringServer):
    """A server whose connections process several requests at a time."""

    def __init__(
        self, responder: Responder, keeper: AnswerKeeper, **options: Any
    ) -> None:
        """Pass each request to a responder.

        :param options: those of other servers of a host.
        """
        super().__init__(_respond_in_turn, keeper, **options)
        self._responder = responder

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return PipelinedConnection(
            self, self._responder, loop=self._loop, **self._kwargs
        )


async def _respond_in_turn(request: web.BaseRequest) -> web.Response:
    connection = request.protocol
    assert isinstance(connection, PipelinedConnection)  # noqa: S101
    return await connection.respond(request)
