"""Connections that keep few answers for callers that don't read them."""

import asyncio
from typing import Any, cast

from aiohttp import web

from crocusshunt.front._answer_memory import AnswerKeeper, AnswerMemory
from crocusshunt.front._connections import (
    HostConnection,
    HostServer,
    count_kept,
)
from crocusshunt.front._lingering import LingeringTransport


class AnsweringConnection(HostConnection):
    """A caller's connection that counts the answers that it keeps.

    Answers still reach the caller after the connection was closed.
    """

    def __init__(self, server: 'AnsweringServer', **options: Any) -> None:
        """Use the port of a server.

        :param options: options of aiohttp's connections.
        """
        super().__init__(server, **options)
        self._memory = AnswerMemory(server.keeper, self)
        self._lingering: LingeringTransport | None = None

    @property
    def is_lingering(self) -> bool:
        """Tell whether a connection that was closed still delivers answers."""
        return self._lingering is not None and self._lingering.is_lingering

    @property
    def is_delivered(self) -> bool:
        """Tell whether the peer has received all that was written."""
        lingering = self._lingering
        return lingering is None or not lingering.count_unconfirmed()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let answers reach the caller before the connection is closed."""
        lingering = LingeringTransport(cast(asyncio.Transport, transport))
        self._lingering = lingering
        self._memory.attach(lingering)
        super().connection_made(cast(asyncio.BaseTransport, lingering))

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, unless the connection was closed."""
        if not self.is_lingering:
            super().data_received(received)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Keep nothing for a caller that has left."""
        super().connection_lost(exc)
        self._memory.close()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, and count it until it is written."""
        self._memory.begin(resp)
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._memory.drop(resp)

    def hold(self, is_full: bool) -> None:
        """Read nothing while the caller has too much to take."""
        if is_full:
            self._pause_transport_reading()
        elif not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Any,
    ) -> tuple[web.StreamResponse, bool]:
        """Count the head of a request until its response is written."""
        self._current_message = request._message  # noqa: SLF001
        if self._bounds is not None:
            self._bounds.measure(count_kept(self), self._messages)
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        finally:
            self._current_message = None
            if self._bounds is not None and self._parser is not None:
                self._bounds.note_response(count_kept(self), self._messages)

    def _resume_transport_reading(self) -> None:
        if not self._memory.is_full:
            super()._resume_transport_reading()


class AnsweringServer(HostServer):
    """A server whose connections count the answers that they keep."""

    def __init__(
        self, handler: Any, keeper: AnswerKeeper, **options: Any
    ) -> None:
        """Pass each request to a handler.

        :param options: those of other servers of a host.
        """
        super().__init__(handler, **options)
        self.keeper = keeper

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return AnsweringConnection(self, loop=self._loop, **self._kwargs)
