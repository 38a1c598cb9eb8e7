"""Message exchange with the controllers of other hosts."""

from collections import Counter, OrderedDict
from typing import Protocol, TypeVar

from result import Err, Result

from crocusshunt.messages import Body, Codec, Requester, TransportError

_MAX_SOCKETS = 64

_BodyType = TypeVar('_BodyType', bound=Body)


class Transport(Protocol):
    """Exchanges messages with hosts."""

    async def exchange(
        self,
        address: str,
        body: Body,
        timeout_s: float,
    ) -> Result[Body, TransportError]:
        """Send a message and return its answer."""


class SocketTransport:
    """Exchanges messages over a bounded number of sockets.

    Of more than 64 sockets the least recently used one is closed, so that
    connections to hosts that are gone are not retried for ever.
    """

    def __init__(self) -> None:
        """Start without sockets."""
        self._requesters: OrderedDict[str, Requester] = OrderedDict()

    async def exchange(
        self,
        address: str,
        body: Body,
        timeout_s: float,
    ) -> Result[Body, TransportError]:
        """Send a message and return its answer."""
        return await self._get(address).exchange(body, timeout_s)

    def drop(self, address: str) -> None:
        """Close the socket to an address."""
        requester = self._requesters.pop(address, None)
        if requester is not None:
            requester.close()

    def close(self) -> None:
        """Close all sockets."""
        for address in tuple(self._requesters):
            self.drop(address)

    def _get(self, address: str) -> Requester:
        if address not in self._requesters:
            self._requesters[address] = Requester(address)
        self._requesters.move_to_end(address)
        if len(self._requesters) > _MAX_SOCKETS:
            self.drop(next(iter(self._requesters)))
        return self._requesters[address]


class Traffic:
    """Exchanges messages and counts them and their encoded size.

    :ivar messages: messages by direction, ``sent`` or ``received``.
    :ivar bytes: bytes of these messages by direction.
    """

    def __init__(self, transport: Transport) -> None:
        """Start with all counters at zero."""
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self._transport = transport
        self._codec = Codec()

    async def exchange(
        self,
        address: str,
        body: Body,
        timeout_s: float,
    ) -> Body | None:
        """Send a message and return its answer, None after a failure."""
        self._count('sent', body)
        answer = await self._transport.exchange(address, body, timeout_s)
        if isinstance(answer, Err):
            return None
        return self.count_received(answer.ok_value)

    def count_received(self, body: _BodyType) -> _BodyType:
        """Count a received message and return it."""
        self._count('received', body)
        return body

    def count_sent(self, body: Body) -> Body:
        """Count an answer to be sent and return it."""
        self._count('sent', body)
        return body

    def _count(self, direction: str, body: Body) -> None:
        self.messages[direction] += 1
        self.bytes[direction] += len(self._codec.encode(body))
