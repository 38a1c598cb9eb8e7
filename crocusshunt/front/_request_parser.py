"""Parser of requests, in place of the one of the HTTP library.

The library's parser has limits of its own that no configuration names, keeps
what it can't use, and takes as many steps as the received bytes hold.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import (  # noqa: WPS450
    MAX_MSG_QUEUE_SIZE,
    _ErrInfo,
)

from crocusshunt.front._request_bodies import (
    IncomingBody,
    find_payload,
    open_body,
)
from crocusshunt.front._request_messages import create_message
from crocusshunt.http1 import (
    HeadReader,
    ReadLimits,
    RequestReadError,
)

# Heads, lines and pieces that are read before other callbacks have their turn.
_TURN_STEP_COUNT = 256
# The library's connections ask for more requests once their queue of so many
# has drained.
_MAX_WAITING_COUNT = MAX_MSG_QUEUE_SIZE
# So many fields take about as long as one other part.
_FIELDS_PER_STEP = 4

Message = tuple[Any, Any]


class RequestParser:
    """Parses the requests of one connection.

    It has the interface that the library's connections expect. After a request
    that can't be read, it drops all that comes.
    """

    def __init__(
        self,
        protocol: web.RequestHandler,
        loop: asyncio.AbstractEventLoop,
        get_limits: Callable[[], ReadLimits],
    ) -> None:
        """Parse for a connection.

        :param get_limits: called for each request.
        """
        self._protocol = protocol
        self._loop = loop
        self._get_limits = get_limits
        self._received = bytearray()
        self._reader: HeadReader | None = None
        self._body: IncomingBody | None = None
        self._parsed: deque[Message] = deque()
        self._waiting_count = 0
        self._is_paused = False
        self._is_last = False
        self._is_ended = False
        self._has_more = False
        # Parts of requests that were parsed so far.
        self.step_count = 0

    @property
    def held_bytes(self) -> int:
        """Return how many received bytes are kept to be parsed."""
        return len(self._received)

    @property
    def is_in_head(self) -> bool:
        """Tell whether a head has begun that isn't whole."""
        return self._body is None and bool(self._received)

    @property
    def is_in_body(self) -> bool:
        """Tell whether a body has begun that isn't whole."""
        return self._body is not None

    @property
    def has_more(self) -> bool:
        """Tell whether received bytes can be parsed in a later turn."""
        return self._has_more and not self._is_paused

    def feed_data(self, received: bytes) -> tuple[Any, bool, bytes]:
        """Parse received bytes; return the requests whose heads are whole.

        :return: the requests with their bodies, and nothing else.
        """
        self._is_paused = False
        if self._is_ended:
            return (), False, b''
        self._received += received
        try:
            self._parse()
        except RequestReadError as error:
            self._end(error)
        if self._body is not None:
            self._body.pass_on()
        messages = tuple(self._parsed)
        self._parsed.clear()
        return messages, False, b''

    def message_consumed(self) -> None:
        """Note that a request has begun, so that another one may wait."""
        self._waiting_count = max(0, self._waiting_count - 1)

    def pause_reading(self) -> None:
        """Leave what is received unparsed until bytes are fed again."""
        self._is_paused = True

    def discard_body(self, payload: Any) -> None:
        """Note that nobody will read the rest of a body."""
        if self._body is not None and self._body.payload is payload:
            self._body.is_discarded = True

    def _parse(self) -> None:
        self._has_more = False
        for _ in range(_TURN_STEP_COUNT):
            if self._is_paused or self._is_ended or not self._step():
                return
            self.step_count += 1
        self._has_more = bool(self._received)

    def _step(self) -> bool:
        """Parse the next part; return whether there may be another one."""
        body = self._body
        if body is None:
            return self._read_head()
        has_more = body.decode(self._received)
        if not body.is_ended:
            return has_more
        body.end()
        self._is_paused = False
        self._body = None
        return True

    def _read_head(self) -> bool:
        if self._is_last:
            self._drop()
        if not self._received or self._waiting_count >= _MAX_WAITING_COUNT:
            return False
        if self._reader is None:
            self._reader = HeadReader(self._get_limits())
        limits = self._reader.limits
        head = self._reader.take(self._received)
        if head is None:
            return False
        self._reader = None
        self.step_count += len(head.fields) // _FIELDS_PER_STEP
        message = create_message(head)
        self._body = open_body(head, limits, self._protocol)
        self._waiting_count += 1
        self._parsed.append((message, find_payload(self._body)))
        self._is_last = not head.is_persistent
        return True

    def _end(self, error: RequestReadError) -> None:
        """Let an error end the request that it is in."""
        self._drop()
        body = self._body
        if body is None:
            failure = _ErrInfo(int(error.status), error, str(error))
            self._parsed.append((failure, EMPTY_PAYLOAD))
            return
        self._body = None
        body.fail(error)
        if body.is_discarded:
            self._protocol.close()

    def _drop(self) -> None:
        self._is_ended = True
        self._has_more = False
        self._received = bytearray()
