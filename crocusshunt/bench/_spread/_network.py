"""Network between simulated processes that delays and counts messages."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from crocusshunt.messages import (
    Body,
    Codec,
    Handlers,
    PeerRefusalError,
    PeerTimeoutError,
    Refusal,
    TransportError,
)

_BodyType = TypeVar('_BodyType', bound=Body)


class SimulatedNetwork:
    """Delivers messages to the handlers of addresses and counts them.

    `transferred_bytes` counts what each address sent and received."""

    def __init__(self, delay: Callable[[str, str], float]) -> None:
        """Create a network without processes.

        :param delay: returns the one-way delay between two addresses, in
            seconds.
        """
        self.handlers: dict[str, Handlers] = {}
        self.messages = 0
        self.transferred_bytes: Counter[str] = Counter()
        self._delay = delay
        self._codec = Codec()

    async def exchange(self, sender: str, target: str, body: Body) -> Body:
        """Deliver a request and return its answer."""
        await self._transmit(sender, target, body)
        answer = await self.handlers[target].answer(body)
        await self._transmit(target, sender, answer)
        return answer

    async def _transmit(self, sender: str, target: str, body: Body) -> None:
        size = len(self._codec.encode(body))
        self.messages += 1
        self.transferred_bytes[sender] += size
        self.transferred_bytes[target] += size
        await asyncio.sleep(self._delay(sender, target))


class SimulatedRequester:
    """Sends requests to one address; replaces a requester with a socket."""

    def __init__(
        self, network: SimulatedNetwork, sender: str, target: str
    ) -> None:
        """Create a requester from a sender to a target address."""
        self._network = network
        self._sender = sender
        self._target = target

    async def ask(
        self,
        body: Body,
        expected: type[_BodyType],
        timeout_s: float,
    ) -> Result[_BodyType, TransportError]:
        """Send a request and return an answer of the expected type."""
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
        """Send a request and return an answer of any type except refusal."""
        network = self._network
        try:
            async with asyncio.timeout(timeout_s):
                answer = await network.exchange(
                    self._sender, self._target, body
                )
        except TimeoutError:
            return Err(PeerTimeoutError(self._target))
        if isinstance(answer, Refusal):
            return Err(PeerRefusalError(answer.code))
        return Ok(answer)


class SimulatedRequesterPool:
    """Requesters of one process; replaces a pool of sockets."""

    def __init__(self, network: SimulatedNetwork, sender: str) -> None:
        """Create a pool for requests from a sender."""
        self._network = network
        self._sender = sender

    def get(self, address: str) -> SimulatedRequester:
        """Return the requester for an address."""
        return SimulatedRequester(self._network, self._sender, address)
