"""Interface processes, controllers and gateways in simulated time."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, cast

from crocusshunt.bench._simulation import LoopClock
from crocusshunt.bench._spread._pool import Wire, WirePool
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
_NEAR_S = 0.001
_FAR_S = 0.055


@dataclass(frozen=True, slots=True)
class SpreadSettings:
    """Size of the fleet.

    :param hosts: entry hosts, each with a controller and a gateway.
    :param apis: interface processes.
    """

    hosts: int
    apis: int


class SpreadFleet:
    """The real feeds, followers and witnesses on simulated wires."""

    def __init__(self, settings: SpreadSettings) -> None:
        """Assemble the parts on the running loop."""
        self.store = MemoryPlatform()
        self.store.switches.delay_s = _STORE_DELAY_S
        self.wire = Wire(_measure_delay)
        self._clock = LoopClock()
        self.apis = tuple(
            f'tcp://10.0.{place % _REGIONS}.{place}:1'
            for place in range(settings.apis)
        )
        self.controllers = tuple(
            f'controller-{place % _REGIONS}-{place}'
            for place in range(settings.hosts)
        )
        self.feeds: dict[str, Feed] = {}
        self.gateways: list[Feed] = []
        self._repositories: list[Repository] = []
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self) -> None:
        """Start all tasks."""
        for address in self.apis:
            self._start_api(address)
        for place, controller in enumerate(self.controllers):
            near = [
                api
                for api in self.apis
                if _find_region(api) == _find_region(controller)
            ]
            self._serve(controller, Feed(self._clock), Handlers())
            self._follow(controller, near[place // _REGIONS % len(near)])
            self.gateways.append(Feed(self._clock))
            self._run(self._create_follower(place).run())

    async def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def accept(self, change_id: str, *rows: Row) -> Change:
        """Write a change through the first interface process."""
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
        parts = WitnessHandler(repository, self._clock)
        handlers = Handlers()
        parts.register(handlers)
        self._serve(address, feed, handlers)
        self._repositories.append(repository)
        poller = StorePoller(repository, feed, self._clock, parts.observe)
        self._run(poller.run())
        self._run(parts.run(lambda: address in feed.witness_addresses))
        self._run(TestimonyCollector(feed, pool, self._clock).run())

    def _serve(self, address: str, feed: Feed, handlers: Handlers) -> None:
        handlers.register(FetchChanges)(feed.answer)
        self.feeds[address] = feed
        self.wire.handlers[address] = handlers

    def _follow(self, address: str, source: str) -> None:
        follower = Follower(
            FollowerSettings((source,)),
            self.feeds[address],
            self._create_pool(address),
            self._clock,
        )
        self._run(follower.run())

    def _create_follower(self, place: int) -> Follower:
        controller = self.controllers[place]
        return Follower(
            FollowerSettings((controller,)),
            self.gateways[place],
            self._create_pool(f'gateway-{controller}'),
            self._clock,
        )

    def _create_pool(self, sender: str) -> RequesterPool:
        return cast(RequesterPool, WirePool(self.wire, sender))

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))


def _find_region(address: str) -> str:
    separator = '.' if '.' in address else '-'
    place = 2 if separator == '.' else -2
    return address.split(separator)[place]


def _measure_delay(source: str, target: str) -> float:
    if _find_region(source) == _find_region(target):
        return _NEAR_S
    return _FAR_S
