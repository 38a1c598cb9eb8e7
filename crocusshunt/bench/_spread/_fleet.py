"""API processes, controllers and gateways in simulated time."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, cast

from crocusshunt.bench._simulation import LoopClock
from crocusshunt.bench._spread._network import (
    SimulatedNetwork,
    SimulatedRequesterPool,
)
from crocusshunt.configuration import (
    Change,
    ChangeRequest,
    EditRequest,
    Repository,
    encode_row,
)
from crocusshunt.messages import FetchChanges, Handlers, RequesterPool
from crocusshunt.replication import (
    Feed,
    Follower,
    FollowerSettings,
    StorePoller,
    TestimonyCollector,
    WitnessAnnouncer,
    WitnessHandler,
)
from crocusshunt.routing import Row, find_row_table
from crocusshunt.standin import MemoryPlatform

_STORE_DELAY_S = 0.11
_REGIONS = 3
_SAME_REGION_DELAY_S = 0.001
_OTHER_REGION_DELAY_S = 0.055


@dataclass(frozen=True, slots=True)
class SpreadSettings:
    """Size of the fleet.

    :param hosts: number of entry hosts, each with a controller and a gateway.
    :param apis: number of API processes.
    """

    hosts: int
    apis: int


class SpreadFleet:
    """Runs production feeds, followers and witnesses on a simulated network."""

    def __init__(self, settings: SpreadSettings) -> None:
        """Create the store and the network; needs a running loop."""
        self.store = MemoryPlatform()
        self.store.switches.delay_s = _STORE_DELAY_S
        self.network = SimulatedNetwork(_measure_delay)
        self._clock = LoopClock()
        self.apis = tuple(
            f'tcp://10.0.{index % _REGIONS}.{index}:1'
            for index in range(settings.apis)
        )
        self.controllers = tuple(
            f'controller-{index % _REGIONS}-{index}'
            for index in range(settings.hosts)
        )
        self.feeds: dict[str, Feed] = {}
        self.gateways: list[Feed] = []
        self._repositories: list[Repository] = []
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self) -> None:
        """Start the tasks of all processes."""
        for address in self.apis:
            self._start_api(address)
        for index, controller in enumerate(self.controllers):
            local_apis = [
                api
                for api in self.apis
                if _find_region(api) == _find_region(controller)
            ]
            self._serve(controller, Feed(self._clock), Handlers())
            self._follow(
                controller, local_apis[index // _REGIONS % len(local_apis)]
            )
            self.gateways.append(Feed(self._clock))
            self._start_task(self._create_follower(index).run())

    async def stop(self) -> None:
        """Cancel the tasks of all processes and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def accept(self, change_id: str, *rows: Row) -> Change:
        """Write a change of rows through the first API process."""
        feed = self.feeds[self.apis[0]]
        edits = tuple(
            EditRequest(find_row_table(row), row.name, encode_row(row))
            for row in rows
        )
        revision = feed.configuration.revision
        request = ChangeRequest(change_id, revision, 'bench', 'bench', edits)
        accepted = await self._repositories[0].propose(
            request,
            feed.configuration,
        )
        return accepted.unwrap()

    def _start_api(self, address: str) -> None:
        pool = self._create_pool(address)
        repository = Repository(
            self.store,
            self._clock,
            WitnessAnnouncer(pool),
        )
        feed = Feed(self._clock)
        witness_handler = WitnessHandler(repository, self._clock)
        handlers = Handlers()
        witness_handler.register(handlers)
        self._serve(address, feed, handlers)
        self._repositories.append(repository)
        poller = StorePoller(
            repository, feed, self._clock, witness_handler.observe
        )
        self._start_task(poller.run())
        self._start_task(
            witness_handler.run(lambda: address in feed.witness_addresses)
        )
        self._start_task(TestimonyCollector(feed, pool, self._clock).run())

    def _serve(self, address: str, feed: Feed, handlers: Handlers) -> None:
        handlers.register(FetchChanges)(feed.answer)
        self.feeds[address] = feed
        self.network.handlers[address] = handlers

    def _follow(self, address: str, source: str) -> None:
        follower = Follower(
            FollowerSettings((source,)),
            self.feeds[address],
            self._create_pool(address),
            self._clock,
        )
        self._start_task(follower.run())

    def _create_follower(self, index: int) -> Follower:
        controller = self.controllers[index]
        return Follower(
            FollowerSettings((controller,)),
            self.gateways[index],
            self._create_pool(f'gateway-{controller}'),
            self._clock,
        )

    def _create_pool(self, sender: str) -> RequesterPool:
        return cast(RequesterPool, SimulatedRequesterPool(self.network, sender))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))


def _find_region(address: str) -> str:
    separator = '.' if '.' in address else '-'
    index = 2 if separator == '.' else -2
    return address.split(separator)[index]


def _measure_delay(source: str, target: str) -> float:
    if _find_region(source) == _find_region(target):
        return _SAME_REGION_DELAY_S
    return _OTHER_REGION_DELAY_S
