"""Network between simulated hosts, with message faults and partitions."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
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


@dataclass(slots=True)
class Faults:
    """Message faults that the network injects.

    :param loss: probability that a message is lost, in each direction.
    :param duplication: probability that a request is delivered twice.
    :param jitter_s: largest extra delay of a message, in seconds; reorders
        messages.
    """

    loss: float = 0
    duplication: float = 0
    jitter_s: float = 0


class Network:
    """Carries requests and answers between the controllers of the hosts."""

    def __init__(
        self,
        source: random.Random,
        delay: Callable[[str, str], float],
    ) -> None:
        """Create a network without hosts.

        :param source: random source of faults and extra delays.
        :param delay: returns the one-way delay between two hosts, in
            seconds.
        """
        self.faults = Faults()
        self.handlers: dict[str, Handlers] = {}
        # Hosts of different numbers cannot reach each other; 0 by default.
        self.partitions: dict[str, int] = {}
        self.paused: dict[str, asyncio.Event] = {}
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._source = source
        self._delay = delay
        self._codec = Codec()
        self._duplicates: set[asyncio.Task[None]] = set()

    async def ask(
        self,
        sender: str,
        host: str,
        body: Body,
        expected: type[_BodyType],
        timeout_s: float,
    ) -> Result[_BodyType, TransportError]:
        """Send a request and return its answer.

        :param timeout_s: how long to wait for the answer, in seconds.
        """
        answer: Body | None = None
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(sender, host, body)
        except TimeoutError:
            return Err(PeerTimeoutError(host))
        await self.wait_while_paused(sender)
        if isinstance(answer, expected):
            return Ok(answer)
        if isinstance(answer, Refusal):
            return Err(PeerRefusalError(answer.code))
        return Err(PeerTimeoutError(host))

    async def wait_while_paused(self, host: str) -> None:
        """Wait until a host is no longer paused."""
        resumed = self.paused.get(host)
        if resumed is not None:
            await resumed.wait()

    async def _exchange(self, sender: str, host: str, body: Body) -> Body:
        await self.wait_while_paused(sender)
        await self._delay_or_drop(sender, host, body)
        if self._source.random() < self.faults.duplication:
            self._serve_duplicate(sender, host, body)
        answer = await self._serve(host, body)
        await self._delay_or_drop(host, sender, answer)
        return answer

    def _serve_duplicate(self, sender: str, host: str, body: Body) -> None:
        async def serve_after_delay() -> None:
            await asyncio.sleep(self._source.random())
            await self._serve(host, body)

        task = asyncio.create_task(serve_after_delay())
        self._duplicates.add(task)
        task.add_done_callback(self._duplicates.discard)

    async def _serve(self, host: str, body: Body) -> Body:
        await self.wait_while_paused(host)
        if host not in self.handlers:
            await asyncio.Event().wait()
        # A handler keeps running after its request has timed out.
        serving: Awaitable[Body] = asyncio.ensure_future(
            self.handlers[host].answer(body),
        )
        return await asyncio.shield(serving)

    async def _delay_or_drop(self, sender: str, host: str, body: Body) -> None:
        if sender == host:
            return
        self.sent[type(body).__name__] += 1
        self.sent_bytes[sender] += len(self._codec.encode(body))
        is_partitioned = self.partitions.get(sender, 0) != self.partitions.get(
            host, 0
        )
        if is_partitioned or self._source.random() < self.faults.loss:
            await asyncio.Event().wait()
        extra = self._source.random() * self.faults.jitter_s
        await asyncio.sleep(self._delay(sender, host) + extra)


class NetworkPeers:
    """The other hosts as one simulated host sees them.

    :param domains: failure domain of each host that this host considers
        live.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        domains: dict[str, str],
    ) -> None:
        """Create the peers with an initial view of the live hosts."""
        self.domains = domains
        self._name = name
        self._network = network

    def find_domains(self) -> dict[str, str]:
        """Return the failure domain of each live host."""
        return self.domains

    async def ask(
        self,
        host: str,
        body: Body,
        expected: type[_BodyType],
        timeout_s: float,
    ) -> Result[_BodyType, TransportError]:
        """Send a message to the controller of a host."""
        return await self._network.ask(
            self._name,
            host,
            body,
            expected,
            timeout_s,
        )
