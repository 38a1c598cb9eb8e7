"""Request and reply sockets over TCP, based on NNG's req/rep protocol."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

import pynng
from result import Err, Ok, Result

from crocusshunt.logs import log_event
from crocusshunt.messages._bodies import Body, Refusal
from crocusshunt.messages._cancellation import await_cancellable
from crocusshunt.messages._codec import Codec
from crocusshunt.messages._errors import (
    PeerRefusalError,
    PeerTimeoutError,
    TransportError,
)

# Disables NNG's automatic resending: a request is sent once, and only its
# sender decides whether it may safely be repeated.
_RESEND_DISABLED_MS = -1
_MAX_MESSAGE_BYTES = 67_108_864
_MAX_CONCURRENT_REQUESTS = 64

_BodyType = TypeVar('_BodyType', bound=Body)
Handler = Callable[[Body], Awaitable[Body]]


class Handlers:
    """Registry of handler functions by the body type that they answer."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._handlers: dict[type[Body], Handler] = {}

    def register(
        self,
        body_class: type[_BodyType],
    ) -> Callable[
        [Callable[[_BodyType], Awaitable[Body]]],
        Callable[[_BodyType], Awaitable[Body]],
    ]:
        """Return a decorator that registers a handler for a body type."""

        def add_handler(
            function: Callable[[_BodyType], Awaitable[Body]],
        ) -> Callable[[_BodyType], Awaitable[Body]]:
            self._handlers[body_class] = cast(Handler, function)
            return function

        return add_handler

    async def answer(self, body: Body) -> Body:
        """Call the handler registered for the body's type.

        A body without a handler is answered with a refusal.
        """
        handler = self._handlers.get(type(body))
        if handler is None:
            return Refusal('message-unexpected', type(body).__name__)
        return await handler(body)


class Replier:
    """Server that answers messages on one address; owns its socket.

    It answers up to 64 requests concurrently; further ones wait.
    """

    def __init__(self, address: str, handlers: Handlers) -> None:
        """Store the address and the handlers without opening a socket.

        :param address: ``tcp://ip:port``; port 0 picks a free port.
        """
        self.codec = Codec()
        self.address = address
        self._handlers = handlers
        self._socket: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the socket and answer requests in background tasks.

        ``address`` then holds the port that was actually bound.
        """
        self._socket = pynng.Rep0(recv_max_size=_MAX_MESSAGE_BYTES)
        listener = self._socket.listen(self.address)
        self.address = f'tcp://{listener.local_address}'
        for _ in range(_MAX_CONCURRENT_REQUESTS):
            context = self._socket.new_context()
            self._tasks.append(asyncio.create_task(self._serve(context)))

    async def stop(self) -> None:
        """Cancel the background tasks and close the socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()

    async def _serve(self, context: pynng.Context) -> None:
        with context:
            while True:
                message = await await_cancellable(context.arecv())
                answer = await self._answer(message)
                await self._reply(context, answer)

    async def _reply(self, context: pynng.Context, answer: Body) -> None:
        try:
            await await_cancellable(
                context.asend(self.codec.encode(answer)),
            )
        except pynng.exceptions.Closed:
            raise
        except pynng.exceptions.NNGException as error:
            log_event('reply could not be sent', error=str(error))

    async def _answer(self, message: bytes) -> Body:
        decoded = self.codec.decode(message)
        if isinstance(decoded, Err):
            return Refusal(decoded.err_value.code, decoded.err_value.describe())
        try:
            return await self._handlers.answer(decoded.ok_value)
        except Exception as error:
            # A handler's exception must not end the task, which serves the
            # requests of all other handlers too.
            log_event('handler failed', logging.ERROR, error=repr(error))
            return Refusal('handler-failed', type(error).__name__)


class Requester:
    """Client that sends messages to one address; owns its socket."""

    def __init__(self, address: str) -> None:
        """Open a socket that connects to an address in the background.

        :param address: ``tcp://ip:port``.
        """
        self.codec = Codec()
        self._address = address
        self._socket = pynng.Req0(
            resend_time=_RESEND_DISABLED_MS,
            recv_max_size=_MAX_MESSAGE_BYTES,
        )
        self._socket.dial(address, block=False)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def ask(
        self,
        body: Body,
        expected: type[_BodyType],
        timeout_s: float,
    ) -> Result[_BodyType, TransportError]:
        """Send a message and return its answer if it has the expected type.

        :param expected: type of the answer on success; an answer of any
            other type is returned as :class:`PeerRefusalError`.
        :param timeout_s: longest wait for the answer, in seconds.
        """
        answer = await self.exchange(body, timeout_s)
        if isinstance(answer, Err):
            return answer
        if isinstance(answer.ok_value, expected):
            return Ok(answer.ok_value)
        return Err(PeerRefusalError(type(answer.ok_value).__name__))

    async def exchange(
        self,
        body: Body,
        timeout_s: float,
    ) -> Result[Body, TransportError]:
        """Send a message and return its answer, whatever its type.

        A refusal and an undecodable answer are returned as
        :class:`PeerRefusalError`, a failed socket operation like a timeout.

        :param timeout_s: longest wait for the answer, in seconds.
        """
        with self._socket.new_context() as context:
            try:
                async with asyncio.timeout(timeout_s):
                    message = await self._send_and_receive(context, body)
            except (TimeoutError, pynng.exceptions.NNGException):
                return Err(PeerTimeoutError(self._address))
        decoded = self.codec.decode(message)
        if isinstance(decoded, Err):
            return Err(PeerRefusalError(decoded.err_value.code))
        if isinstance(decoded.ok_value, Refusal):
            return Err(PeerRefusalError(decoded.ok_value.code))
        return Ok(decoded.ok_value)

    async def _send_and_receive(
        self, context: pynng.Context, body: Body
    ) -> bytes:
        await await_cancellable(context.asend(self.codec.encode(body)))
        return cast(bytes, await await_cancellable(context.arecv()))


class RequesterPool:
    """Cache of requesters by address; each is opened on first use."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._requesters: dict[str, Requester] = {}

    def get(self, address: str) -> Requester:
        """Return the requester for an address, opening it if necessary."""
        if address not in self._requesters:
            self._requesters[address] = Requester(address)
        return self._requesters[address]

    def close(self) -> None:
        """Close and forget all requesters."""
        for requester in self._requesters.values():
            requester.close()
        self._requesters.clear()
