"""Seeded simulation of gateways that compete for server slots."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from crocusshunt.bench._slot_workload import SlotReport, SlotWorkload
from crocusshunt.delivery import (
    ServerLoads,
    choose_server,
    find_selection_policy,
)
from crocusshunt.routing import Server

SLOT_SHARES = 'slot-shares'


class _Events:
    """Event queue, ordered by simulated time in seconds."""

    def __init__(self) -> None:
        self.now = float(0)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._next_number = 0

    def add(self, delay: float, action: Callable[[], None]) -> None:
        self._next_number += 1
        entry = (self.now + delay, self._next_number, action)
        heapq.heappush(self._heap, entry)

    def run(self) -> None:
        while self._heap:
            event = heapq.heappop(self._heap)
            self.now = event[0]
            event[2]()


@dataclass(slots=True)
class _Request:
    arrived_at: float
    service_s: float
    tried: set[str] = field(default_factory=set)


class _Gateway:
    """Gateway that chooses servers with the production code."""

    def __init__(self, fleet: '_Fleet', pool: tuple[Server, ...]) -> None:
        self.fleet = fleet
        self.pool = pool
        self.loads = ServerLoads()
        self.waiting: deque[_Request] = deque()
        self._is_scheduled = False

    def arrive(self, service_s: float) -> None:
        request = _Request(self.fleet.events.now, service_s)
        self.fleet.report.offered += 1
        if self.waiting or not self.send(request):
            self.waiting.append(request)
            self._schedule()

    def send(self, request: _Request) -> bool:
        untried = [
            server for server in self.pool if server.name not in request.tried
        ]
        server = choose_server(
            untried,
            self.loads,
            self.fleet.source,
            choose=self.fleet.choose,
        )
        if server is None:
            return False
        self.loads.acquire(server)
        self.fleet.report.sent += 1
        link_s = self.fleet.workload.link_s
        self.fleet.events.add(
            link_s,
            lambda: self.fleet.arrive_at_server(self, server, request),
        )
        return True

    def finish(self, server: Server, request: _Request | None) -> None:
        self.loads.release(server)
        if request is None:
            self.loads.note_answer(server)
        else:
            self._handle_shed(server, request)
        self.send_waiting()

    def send_waiting(self) -> None:
        while self.waiting:
            if self._is_late(self.waiting[0]):
                self.waiting.popleft()
                self.fleet.report.refused += 1
            elif self.send(self.waiting[0]):
                self.waiting.popleft()
            else:
                self._schedule()
                return

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.fleet.events.add(
                self.fleet.workload.retry_s, self._retry_waiting
            )

    def _retry_waiting(self) -> None:
        self._is_scheduled = False
        self.send_waiting()

    def _handle_shed(self, server: Server, request: _Request) -> None:
        if self.fleet.workload.is_adaptive:
            self.loads.note_shed(server)
        request.tried.add(server.name)
        is_exhausted = len(request.tried) >= self.fleet.workload.max_sheds
        if is_exhausted or not self.send(request):
            request.tried.clear()
            self.waiting.appendleft(request)
            self._schedule()

    def _is_late(self, request: _Request) -> bool:
        waited_s = self.fleet.events.now - request.arrived_at
        return waited_s > self.fleet.workload.deadline_s


class _ServerSlots:
    """Actual free slots of each server."""

    def __init__(self, pool: tuple[Server, ...]) -> None:
        self._free = {server.name: server.slots for server in pool}

    def start(self, server: Server) -> bool:
        if not self._free[server.name]:
            return False
        self._free[server.name] -= 1
        return True

    def finish(self, server: Server) -> None:
        self._free[server.name] += 1


class _Fleet:
    """Gateways, servers and event queue of one simulation."""

    def __init__(self, workload: SlotWorkload, name: str) -> None:
        self.workload = workload
        self.events = _Events()
        self.source = random.Random(workload.seed)
        self.report = SlotReport()
        is_shared = name == SLOT_SHARES
        self.choose = find_selection_policy(
            'least-in-flight' if is_shared else name
        )
        pool = tuple(
            Server(f's{number}', 'p', '127.0.0.1:1', 'r', 'd', slots=slots)
            for number, slots in enumerate(workload.slots)
        )
        self._server_slots = _ServerSlots(pool)
        shares = _share_slots(pool, workload.gateways) if is_shared else ()
        self._gateways = tuple(
            _Gateway(self, shares[number] if is_shared else pool)
            for number in range(workload.gateways)
        )

    def offer(self) -> None:
        for arrival, service_s in draw_arrivals(self.workload):
            gateway = self.source.choice(self._gateways)
            self.events.add(arrival, partial(gateway.arrive, service_s))
        self.events.run()

    def arrive_at_server(
        self,
        gateway: _Gateway,
        server: Server,
        request: _Request,
    ) -> None:
        link_s = self.workload.link_s
        if not self._server_slots.start(server):
            self.events.add(link_s, lambda: gateway.finish(server, request))
            return
        waited_s = self.events.now - request.arrived_at - link_s
        self.report.record_wait(waited_s)
        self.events.add(
            request.service_s,
            lambda: self._finish(gateway, server),
        )

    def _finish(self, gateway: _Gateway, server: Server) -> None:
        self._server_slots.finish(server)
        self.events.add(
            self.workload.link_s,
            lambda: gateway.finish(server, None),
        )


def draw_arrivals(workload: SlotWorkload) -> Iterator[tuple[float, float]]:
    """Yield the arrival time and service time of each request, in seconds.

    All selection policies get the same workload.
    """
    source = random.Random(workload.seed)
    arrival = float(0)
    for _ in range(workload.requests):
        arrival += source.expovariate(workload.requests_per_s)
        yield arrival, source.expovariate(1 / workload.service_s)


def simulate_slots(workload: SlotWorkload, name: str) -> SlotReport:
    """Return the report of a workload under one selection policy.

    :param name: name of a registered selection policy, or `slot-shares`, which
        divides the slots between the gateways.
    """
    fleet = _Fleet(workload, name)
    fleet.offer()
    return fleet.report


def simulate_shared_queue(workload: SlotWorkload) -> SlotReport:
    """Return the report of a workload with one queue for all slots."""
    report = SlotReport()
    free_at = [float(0) for _ in range(sum(workload.slots))]
    for arrival, service_s in draw_arrivals(workload):
        report.offered += 1
        starts_at = max(arrival, heapq.heappop(free_at))
        heapq.heappush(free_at, starts_at + service_s)
        report.record_wait(starts_at - arrival)
    return report


def _share_slots(
    pool: tuple[Server, ...],
    gateways: int,
) -> list[tuple[Server, ...]]:
    slots = [server for server in pool for _ in range(server.slots)]
    return [
        tuple(
            Server(
                server.name,
                server.pool,
                server.address,
                server.region,
                server.failure_domain,
                slots=1,
            )
            for server in slots[number::gateways]
        )
        for number in range(gateways)
    ]
