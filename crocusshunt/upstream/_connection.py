"""One connection to a backend server, one exchange at a time."""

import asyncio
from typing import Any

import h11

from crocusshunt.upstream._errors import AnswerBrokenError, NotConnectedError
from crocusshunt.upstream._messages import (
    EchoPolicy,
    UpstreamAnswer,
    UpstreamRequest,
)
from crocusshunt.upstream._wire import Wire

_MAX_HEAD_BYTES = 65_536
# Servers end idle connections by timers of their own; a request sent just
# then would be lost.
_IDLE_MARGIN_S = 1
_IDLE_WITHOUT_HINT_S = 0.5
_END = (h11.EndOfMessage, h11.ConnectionClosed)


class Connection:
    """Sends requests and reads the answers that belong to them.

    An answer that echoes another request's id is passed over: a server may
    send a second answer where the next one is due.
    """

    def __init__(self, wire: Wire, echo: EchoPolicy) -> None:
        """Use an open connection."""
        self._wire = wire
        self._echo = echo
        self._http = _create_parser()
        self._is_kept = True
        self.idle_limit_s = _IDLE_WITHOUT_HINT_S
        self.idle_s: float = 0

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent."""
        wire = self._wire
        return self._is_kept and wire.is_open and not wire.is_tainted

    async def exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Send a request and return its whole answer.

        The connection is closed unless the exchange ends well, also when
        the caller cancels it.

        :raises AnswerBrokenError: no whole answer came.
        """
        self._wire.is_idle = False
        is_whole = False
        try:
            answer = await self._exchange(request)
            is_whole = True
        except (h11.RemoteProtocolError, OSError) as error:
            detail = f'{type(error).__name__}: {error}'
            raise AnswerBrokenError(detail) from error
        finally:
            if not is_whole:
                self.close()
        self._finish(answer)
        return answer

    def close(self) -> None:
        """Close at once."""
        self._is_kept = False
        self._wire.abort()

    async def _exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        try:
            encoded = _send(self._http, request)
        except h11.LocalProtocolError as error:
            raise NotConnectedError(f'invalid request: {error}') from error
        self._wire.write(encoded)
        answer = await self._read_answer()
        while not self._belongs(answer, request):
            self._is_kept = False
            self._skip_foreign(request)
            answer = await self._read_answer()
        return answer

    async def _read_answer(self) -> UpstreamAnswer:
        head = await self._next_event()
        while not isinstance(head, h11.Response):
            if isinstance(head, _END):
                raise AnswerBrokenError('closed')
            head = await self._next_event()
        body = bytearray()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            body += event.data
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise AnswerBrokenError('closed within the answer')
        headers = tuple(
            (bytes(name), bytes(text)) for name, text in head.headers
        )
        return UpstreamAnswer(
            head.status_code,
            bytes(head.reason),
            headers,
            bytes(body),
        )

    async def _next_event(self) -> Any:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await self._wire.read())
            event = self._http.next_event()
        return event

    def _belongs(
        self,
        answer: UpstreamAnswer,
        request: UpstreamRequest,
    ) -> bool:
        echo = self._echo
        echoed = answer.find(echo.id_header)
        if echoed is not None:
            return echoed == request.request_id
        if answer.status in echo.exempt_statuses:
            return True
        return answer.find(echo.exempt_header) is not None

    def _skip_foreign(self, request: UpstreamRequest) -> None:
        """Go on behind an answer that belongs to another request."""
        if self._http.their_state is h11.MUST_CLOSE or not self._wire.is_open:
            raise AnswerBrokenError('answer of another request')
        rest, _is_closed = self._http.trailing_data
        self._http = _create_parser()
        _send(self._http, request)
        if rest:
            self._http.receive_data(rest)

    def _finish(self, answer: UpstreamAnswer) -> None:
        self._wire.is_idle = True
        self._is_kept = self._is_kept and self._is_clean()
        if not self._is_kept:
            self.close()
            return
        self._http.start_next_cycle()
        self.idle_limit_s = _find_idle_limit(answer)

    def _is_clean(self) -> bool:
        rest, is_closed = self._http.trailing_data
        is_quiet = not (rest or is_closed or self._wire.has_unread)
        if not is_quiet or not self._wire.is_flushed:
            return False
        states = (self._http.our_state, self._http.their_state)
        return states == (h11.DONE, h11.DONE)


async def open_connection(
    address: str,
    echo: EchoPolicy,
    timeout_s: float,
) -> Connection:
    """Open a connection.

    :param address: ``ip:port`` of the backend server.
    :raises NotConnectedError: it could not be opened in time.
    """
    host, _separator, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _transport, wire = await loop.create_connection(
                Wire,
                host,
                int(port),
            )
    except (OSError, TimeoutError) as error:
        raise NotConnectedError(type(error).__name__) from error
    return Connection(wire, echo)


def _create_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)


def _send(http: h11.Connection, request: UpstreamRequest) -> bytes:
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=list(request.headers),
    )
    parts = [http.send(head)]
    if request.body:
        parts.append(http.send(h11.Data(data=request.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)


def _find_idle_limit(answer: UpstreamAnswer) -> float:
    hint = (answer.find(b'keep-alive') or b'').decode('latin-1')
    for part in hint.split(','):
        name, _separator, text = part.strip().partition('=')
        if name.lower() == 'timeout' and text.isdecimal():
            return max(_IDLE_WITHOUT_HINT_S, int(text) - _IDLE_MARGIN_S)
    return _IDLE_WITHOUT_HINT_S
