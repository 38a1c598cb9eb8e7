"""Messages between simulated processes, counted and delayed."""

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


class Wire:
    """Handlers by address, and what was sent between them."""

    def __init__(self, delay: Callable[[str, str], float]) -> None:
        """Start without processes.

        :param delay: seconds one way between two addresses.
        """
        self.handlers: dict[str, Handlers] = {}
        self.messages = 0
        self.octets: Counter[str] = Counter()
        self._delay = delay
        self._codec = Codec()

    async def exchange(self, sender: str, target: str, body: Body) -> Body:
        """Carry a question and its answer."""
        await self._travel(sender, target, body)
        answer = await self.handlers[target].answer(body)
        await self._travel(target, sender, answer)
        return answer

    async def _travel(self, sender: str, target: str, body: Body) -> None:
        size = len(self._codec.encode(body))
        self.messages += 1
        self.octets[sender] += size
        self.octets[target] += size
        await asyncio.sleep(self._delay(sender, target))


class WireRequester:
    """Asks one address, in place of a socket."""

    def __init__(self, wire: Wire, sender: str, target: str) -> None:
        """Ask a target in the name of a sender."""
        self._wire = wire
        self._sender = sender
        self._target = target

    async def ask(
        self,
        body: Body,
        expected: type[_BodyType],
        timeout_s: float,
    ) -> Result[_BodyType, TransportError]:
        """Send a message and return an answer of a type."""
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
        """Send a message and return an answer of any type but refusal."""
        wire = self._wire
        try:
            async with asyncio.timeout(timeout_s):
                answer = await wire.exchange(self._sender, self._target, body)
        except TimeoutError:
            return Err(PeerTimeoutError(self._target))
        if isinstance(answer, Refusal):
            return Err(PeerRefusalError(answer.code))
        return Ok(answer)


class WirePool:
    """Requesters of one process, in place of its sockets."""

    def __init__(self, wire: Wire, sender: str) -> None:
        """Ask in the name of a sender."""
        self._wire = wire
        self._sender = sender

    def get(self, address: str) -> WireRequester:
        """Return the requester for an address."""
        return WireRequester(self._wire, self._sender, address)
