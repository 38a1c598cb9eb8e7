"""HTTP/1.1 connection to a backend server, one exchange at a time."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import h11

from crocusshunt.upstream._buffering import BodyBuffer, BufferLimit
from crocusshunt.upstream._errors import (
    AnswerBrokenError,
    ConnectionLostError,
    NotConnectedError,
)
from crocusshunt.upstream._holds import AnswerHold
from crocusshunt.upstream._messages import (
    EchoPolicy,
    UpstreamAnswer,
    UpstreamRequest,
)
from crocusshunt.upstream._parsing import (
    DEFAULT_IDLE_LIMIT_S,
    check_status,
    create_parser,
    encode_request,
    find_idle_limit,
    find_length,
)
from crocusshunt.upstream._protocol import StreamProtocol
from crocusshunt.upstream._reading import ReadingTurns

# Informational responses, or responses to other requests, that may come before
# the one to a request.
_MAX_RESPONSES = 16
# Refused requests that a connection remembers before it is closed.
_MAX_REFUSAL_COUNT = 64
_END_EVENTS = (h11.EndOfMessage, h11.ConnectionClosed)


class Connection:
    """Sends requests and reads the responses that belong to them.

    A response that echoes another request's id is skipped: a server may send
    a duplicate response in place of the next one. A request that was refused
    here is not sent here again, since that refusal might come again, too.

    ``idle_limit_s`` is the time in seconds for which the connection may be
    idle and still be reused; ``idle_s`` is the time for which it was idle
    before its current use, 0 for a new connection.
    """

    def __init__(
        self,
        protocol: StreamProtocol,
        echo_policy: EchoPolicy,
        buffer_limit: BufferLimit,
    ) -> None:
        """Wrap the protocol of an open connection.

        :param buffer_limit: bounds the answers of all connections that use it.
        """
        self._protocol = protocol
        self._buffer_limit = buffer_limit
        self._turns = ReadingTurns(buffer_limit.budget)
        self._echo_policy = echo_policy
        self._parser = create_parser()
        self._is_persistent = True
        self._is_new = True
        self._refused_ids: set[bytes] = set()
        self._hold: AnswerHold | None = None
        self._note_head: Callable[[UpstreamAnswer], None] | None = None
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.idle_s: float = 0

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent on this connection."""
        protocol = self._protocol
        return (
            self._is_persistent
            and protocol.is_open
            and not protocol.has_unexpected_bytes
        )

    def has_refused(self, request_id: bytes) -> bool:
        """Tell whether the server refused a request on this connection."""
        return request_id in self._refused_ids

    async def exchange(
        self,
        request: UpstreamRequest,
        hold: AnswerHold | None = None,
        note_head: Callable[[UpstreamAnswer], None] | None = None,
    ) -> UpstreamAnswer:
        """Send a request and return the complete response.

        The connection is closed if the exchange fails or is cancelled.

        :param hold: counts how long the response waits for room at this host.
        :param note_head: called with the response, still without its body,
            before that is read.
        :raises AnswerBrokenError: no complete response came.
        :raises ConnectionLostError: the server ended the connection before.
        :raises NoRoomError: this host had no room for the response.
        :raises NotConnectedError: the request is not valid HTTP; nothing was
            sent.
        """
        self._is_new = self._is_new and not self._protocol.has_unexpected_bytes
        self._protocol.is_idle = False
        self._turns = ReadingTurns(self._buffer_limit.budget)
        self._hold = hold
        self._note_head = note_head
        is_complete = False
        try:
            response = await self._exchange(request)
            is_complete = True
        except (h11.RemoteProtocolError, OSError) as error:
            detail = f'{type(error).__name__}: {error}'
            if self._protocol.is_ended_by_peer:
                raise ConnectionLostError(detail) from error
            raise AnswerBrokenError(detail) from error
        finally:
            if not is_complete:
                self.close()
        self._finish(request.request_id, response)
        return response

    def close(self) -> None:
        """Close at once, without waiting for queued bytes."""
        self._is_persistent = False
        self._protocol.abort()

    async def _exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        try:
            encoded = encode_request(self._parser, request)
        except h11.LocalProtocolError as error:
            raise NotConnectedError(f'invalid request: {error}') from error
        for part in encoded:
            self._protocol.write(part)
        for _ in range(_MAX_RESPONSES):
            response = await self._read_response(request)
            if self._is_response_to(response, request):
                return response
            self._is_persistent = False
            self._skip_mismatched_response(request)
        raise AnswerBrokenError('responses to other requests')

    async def _read_response(self, request: UpstreamRequest) -> UpstreamAnswer:
        head = await self._read_head()
        headers = tuple(
            (bytes(name), bytes(text)) for name, text in head.headers
        )
        begun = UpstreamAnswer(
            head.status_code, bytes(head.reason), headers, b''
        )
        if self._note_head and self._is_response_to(begun, request):
            self._note_head(begun)
        body = await self._read_body(find_length(headers))
        return replace(begun, body=body)

    async def _read_head(self) -> h11.Response:
        """Return the head of a final response, after informational ones."""
        for _ in range(_MAX_RESPONSES):
            head = await self._next_event()
            if isinstance(head, h11.Response):
                check_status(head.status_code)
                return head
            if isinstance(head, _END_EVENTS):
                raise ConnectionLostError('closed')
        raise AnswerBrokenError('informational responses only')

    async def _read_body(self, length: int) -> bytes | bytearray:
        with BodyBuffer(self._buffer_limit, length, hold=self._hold) as body:
            event = await self._next_event()
            while isinstance(event, h11.Data):
                await body.wait_for_room(len(event.data))
                body.append(event.data)
                event = await self._next_event()
            if not isinstance(event, h11.EndOfMessage):
                raise ConnectionLostError(
                    'connection closed before the end of the response'
                )
            return body.join()

    async def _next_event(self) -> Any:
        await self._turns.take_step()
        event = self._parser.next_event()
        while event is h11.NEED_DATA:
            received = await self._protocol.read()
            await self._turns.take_step(len(received))
            self._parser.receive_data(received)
            event = self._parser.next_event()
        return event

    def _is_response_to(
        self,
        response: UpstreamAnswer,
        request: UpstreamRequest,
    ) -> bool:
        echoed = response.find(self._echo_policy.id_header)
        if echoed is not None:
            return echoed == request.request_id
        return self._is_new and self._echo_policy.is_refusal(response)

    def _skip_mismatched_response(self, request: UpstreamRequest) -> None:
        """Prepare to read the response that follows a mismatched one.

        The state machine of h11 ends with one response, so a new one starts
        with the same request and the bytes that are left.
        """
        if (
            self._parser.their_state is h11.MUST_CLOSE
            or not self._protocol.is_open
        ):
            raise AnswerBrokenError('response to another request')
        trailing, _is_closed = self._parser.trailing_data
        self._parser = create_parser()
        encode_request(self._parser, request)
        if trailing:
            self._parser.receive_data(trailing)

    def _finish(self, request_id: bytes, response: UpstreamAnswer) -> None:
        self._protocol.is_idle = True
        self._is_new = False
        if self._echo_policy.is_refusal(response):
            self._refused_ids.add(request_id)
        self._is_persistent = self._is_persistent and self._is_clean()
        if not self._is_persistent:
            self.close()
            return
        self._parser.start_next_cycle()
        self.idle_limit_s = find_idle_limit(response)

    def _is_clean(self) -> bool:
        if len(self._refused_ids) > _MAX_REFUSAL_COUNT:
            return False
        trailing, is_closed = self._parser.trailing_data
        is_quiet = not (trailing or is_closed or self._protocol.has_unread)
        if not is_quiet or not self._protocol.is_flushed:
            return False
        states = (self._parser.our_state, self._parser.their_state)
        return states == (h11.DONE, h11.DONE)
