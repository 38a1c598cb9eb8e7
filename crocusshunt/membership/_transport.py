"""Sockets to the hosts that are probed."""

from collections import Counter, OrderedDict
from typing import Protocol, TypeVar

from result import Err, Result

from crocusshunt.messages import Body, Codec, Requester, TransportError

_MOST_SOCKETS = 64

_BodyType = TypeVar('_BodyType', bound=Body)


class Transport(Protocol):
    """Exchange of messages with hosts."""

    async def exchange(
        self,
        address: str,
        body: Body,
        timeout_s: float,
    ) -> Result[Body, TransportError]:
        """Send a message and return its answer."""


class SocketTransport:
    """Exchanges messages over a bounded number of sockets.

    The socket used longest ago is closed, so lost hosts are not dialled for
    ever.
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
        """Close the socket to a host that is lost."""
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
        if len(self._requesters) > _MOST_SOCKETS:
            self.drop(next(iter(self._requesters)))
        return self._requesters[address]


class Traffic:
    """Exchanges messages, and counts them and their bytes.

    :ivar messages: messages by direction, ``sent`` or ``received``.
    :ivar bytes: bytes of these messages by direction.
    """

    def __init__(self, transport: Transport) -> None:
        """Start at zero."""
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
        """Send a message and return its answer, None without one."""
        self._count('sent', body)
        answer = await self._transport.exchange(address, body, timeout_s)
        if isinstance(answer, Err):
            return None
        return self.receive(answer.ok_value)

    def receive(self, body: _BodyType) -> _BodyType:
        """Count a message that came, and return it."""
        self._count('received', body)
        return body

    def reply(self, body: Body) -> Body:
        """Count an answer that is sent, and return it."""
        self._count('sent', body)
        return body

    def _count(self, direction: str, body: Body) -> None:
        self.messages[direction] += 1
        self.bytes[direction] += len(self._codec.encode(body))
