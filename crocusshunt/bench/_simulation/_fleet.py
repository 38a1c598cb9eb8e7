"""Simulated hosts that run the production controllers and limiters."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from result import Err, Ok, Result

from crocusshunt.bench._simulation._network import Network, NetworkPeers
from crocusshunt.bench._simulation._time import LoopClock
from crocusshunt.controller import Lending, LendingContext
from crocusshunt.core import HostIdentity, IdentifierGenerator
from crocusshunt.gateway import Limiter
from crocusshunt.limits import BorrowSettings
from crocusshunt.messages import (
    BorrowTokens,
    Handlers,
    PeerRefusalError,
    PeerTimeoutError,
    TokenLoan,
    TransportError,
)
from crocusshunt.routing import Customer, Tables
from crocusshunt.standin import MemoryPlatform
from crocusshunt.store import (
    Query,
    StoredRow,
    StoreError,
    StoreUnknownOutcomeError,
    Write,
)

_LOCAL_DELAY_S = 0.0005
_STORE_TIMEOUT_S = 3

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class Layout:
    """Number and placement of the hosts, and the delays between them.

    :param hosts: number of hosts, named `h0`, `h1` and so on.
    :param regions: names of the regions; hosts are assigned round-robin.
    :param region_delay_s: one-way delay between two regions, in seconds.
    :param domain_delay_s: one-way delay within a region, in seconds.
    :param queue: settings with which the limiters borrow tokens.
    """

    hosts: int = 10
    regions: tuple[str, ...] = ('zagreb', 'split', 'osijek')
    region_delay_s: float = 0.02
    domain_delay_s: float = 0.001
    queue: BorrowSettings = field(default_factory=BorrowSettings)

    def find_region(self, host: str) -> str:
        """Return the region of a host."""
        return self.regions[int(host[1:]) % len(self.regions)]

    def find_domain(self, host: str) -> str:
        """Return the failure domain of a host, two in each region."""
        half = int(host[1:]) // len(self.regions) % 2
        return f'{self.find_region(host)}-{half}'

    def find_delay(self, sender: str, host: str) -> float:
        """Return the one-way delay between two hosts, in seconds."""
        if self.find_region(sender) == self.find_region(host):
            return self.domain_delay_s
        return self.region_delay_s


class _PausableTables:
    """A host's access to the table service; blocks while the host is paused."""

    def __init__(self, host: str, fleet: 'LimitFleet') -> None:
        self._host = host
        self._fleet = fleet

    async def read(
        self,
        table: str,
        key: str,
    ) -> Result[StoredRow | None, StoreError]:
        """Return a row, or None if it does not exist."""
        return await self._call(lambda: self._fleet.platform.read(table, key))

    async def query(
        self,
        query: Query,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        """Return the rows that a query selects."""
        return await self._call(lambda: self._fleet.platform.query(query))

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        """Apply all writes atomically, or none."""
        return await self._call(lambda: self._fleet.platform.transact(writes))

    async def _call(
        self,
        call: Callable[[], Coroutine[Any, Any, Result[_Answer, StoreError]]],
    ) -> Result[_Answer, StoreError]:
        network = self._fleet.network
        await network.wait_while_paused(self._host)
        running = asyncio.ensure_future(call())
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                answer = await asyncio.shield(running)
        except TimeoutError:
            return Err(
                StoreUnknownOutcomeError(
                    'no answer from the store within the timeout'
                )
            )
        await network.wait_while_paused(self._host)
        return answer


class _LocalRequester:
    """Connects a gateway to the controller on the same host."""

    def __init__(self, lending: Lending) -> None:
        self._lending = lending

    def get(self, address: str) -> '_LocalRequester':
        """Return this requester; there is only one address."""
        return self

    async def ask(
        self,
        body: BorrowTokens,
        expected: type[TokenLoan],
        timeout_s: float,
    ) -> Result[TokenLoan, TransportError]:
        """Send a borrow request to the controller and return its loan."""
        await asyncio.sleep(_LOCAL_DELAY_S)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._lending.loans.answer(body)
        except TimeoutError:
            return Err(PeerTimeoutError('controller'))
        await asyncio.sleep(_LOCAL_DELAY_S)
        if isinstance(answer, TokenLoan):
            return Ok(answer)
        return Err(PeerRefusalError(type(answer).__name__))


@dataclass(slots=True)
class SimulatedHost:
    """Controller and limiter of one host, and their background tasks."""

    name: str
    lending: Lending
    limiter: Limiter
    peers: NetworkPeers
    tasks: list[asyncio.Task[None]] = field(default_factory=list)


class LimitFleet:
    """Controllers and limiters of all hosts, with a network and a store."""

    def __init__(
        self,
        layout: Layout,
        customers: tuple[Customer, ...],
        seed: int,
    ) -> None:
        """Create the network and the store; needs a running simulation.

        :param seed: seed of all random choices.
        """
        self.layout = layout
        self.tables = Tables().put(*customers)
        self.platform = MemoryPlatform()
        self.source = random.Random(seed)
        self.network = Network(self.source, layout.find_delay)
        self.hosts: dict[str, SimulatedHost] = {}
        self._start_count = 0

    def start(self, drift: float = 0) -> None:
        """Start every host.

        :param drift: largest relative error of a host clock's speed.
        """
        for number in range(self.layout.hosts):
            ratio = self.source.uniform(-drift, drift)
            self.start_host(f'h{number}', ratio)

    def start_host(self, name: str, drift: float = 0) -> None:
        """Start a new process on a host.

        :param drift: relative error of the host clock's speed.
        """
        self._start_count += 1
        clock = LoopClock(drift, origin=self.source.uniform(0, 1000))
        names = [f'h{number}' for number in range(self.layout.hosts)]
        domains = {host: self.layout.find_domain(host) for host in names}
        peers = NetworkPeers(name, self.network, domains)
        identity = HostIdentity(
            name,
            self.layout.find_region(name),
            self.layout.find_domain(name),
        )
        lending = Lending(
            LendingContext(
                identity,
                f'{name}/{self._start_count}',
                lambda: self.tables,
                peers,
                _PausableTables(name, self),
                clock,
            ),
        )
        limiter = Limiter(
            'controller',
            _LocalRequester(lending),
            clock,
            IdentifierGenerator(self.source),
            self.layout.queue,
        )
        handlers = Handlers()
        lending.register(handlers)
        self.network.handlers[name] = handlers
        host = SimulatedHost(name, lending, limiter, peers)
        host.tasks.append(asyncio.create_task(lending.loans.run()))
        host.tasks.append(asyncio.create_task(lending.run_support_collection()))
        self.hosts[name] = host

    def kill(self, name: str) -> None:
        """Kill a host's process without notifying the others."""
        host = self.hosts.pop(name)
        self.network.handlers.pop(name, None)
        for task in host.tasks:
            task.cancel()

    def remove_from_peers(self, name: str) -> None:
        """Remove a host from the live peers that every other host knows."""
        for host in self.hosts.values():
            host.peers.domains.pop(name, None)

    def pause(self, name: str) -> None:
        """Pause a host's process."""
        self.network.paused[name] = asyncio.Event()

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.network.paused.pop(name).set()

    def find_lenders(self, shard: str) -> list[str]:
        """Return the hosts that hold the lease to lend for a shard now."""
        return [
            name
            for name, host in self.hosts.items()
            if host.lending.leases.find_term(shard) is not None
        ]

    def stop(self) -> None:
        """Stop all hosts."""
        for name in tuple(self.hosts):
            self.kill(name)
