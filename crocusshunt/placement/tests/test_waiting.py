"""Requests that wait for a slot during bursts at one server."""

import heapq
import random
from dataclasses import dataclass, field

from crocusshunt.placement import WaitingLine, WaitingRank

_SERVICE_S = 0.08
_OBJECTIVE_S = 0.2
_SLOTS = 4
_POLL_S = 0.03
_URGENT_EVERY = 3
_END_S = 1000.0


def _draw_bursts(rng: random.Random) -> list[float]:
    """Return arrival times: each 0.3 s eleven requests within 20 ms."""
    return sorted(
        burst * 0.3 + rng.uniform(0, 0.02)
        for burst in range(200)
        for _request in range(11)
    )


@dataclass(slots=True)
class _Server:
    """Counts answers in time, and those of urgent requests."""

    ends: list[float] = field(default_factory=list)
    in_time: int = 0
    urgent_in_time: int = 0

    def start(self, number: int, waited_s: float, now: float) -> None:
        if waited_s + _SERVICE_S > _OBJECTIVE_S:
            return
        heapq.heappush(self.ends, now + _SERVICE_S)
        self.in_time += 1
        self.urgent_in_time += number % _URGENT_EVERY == 0


def _play_polls(arrivals: list[float]) -> _Server:
    """Let each request look for a slot every 30 ms."""
    looks = [(at, number) for number, at in enumerate(arrivals)]
    heapq.heapify(looks)
    server = _Server()
    while looks:
        now, number = heapq.heappop(looks)
        while server.ends and server.ends[0] <= now:
            heapq.heappop(server.ends)
        waited_s = now - arrivals[number]
        if len(server.ends) < _SLOTS:
            server.start(number, waited_s, now)
        elif waited_s + _SERVICE_S <= _OBJECTIVE_S:
            heapq.heappush(looks, (now + _POLL_S, number))
    return server


def _play_line(arrivals: list[float]) -> _Server:
    """Offer each released slot to the first request of the line."""
    line = WaitingLine()
    server = _Server()
    for number, arrived_at in enumerate([*arrivals, _END_S]):
        while server.ends and server.ends[0] <= arrived_at:
            released_at = heapq.heappop(server.ends)
            first = line.find_first('s1')
            if first is not None:
                line.leave(first)
                waited_s = released_at - arrivals[first.number]
                server.start(first.number, waited_s, released_at)
        if arrived_at == _END_S:
            break
        if len(server.ends) < _SLOTS:
            server.start(number, 0, arrived_at)
            continue
        urgency = 0 if number % _URGENT_EVERY == 0 else 1
        rank = WaitingRank((urgency,), arrived_at + _OBJECTIVE_S, number)
        line.enter(rank, {'s1'})
    return server


def test_released_slots_go_to_urgent_requests_first_and_at_once() -> None:
    arrivals = _draw_bursts(random.Random(5))
    polled = _play_polls(arrivals)
    offered = _play_line(arrivals)
    assert offered.in_time >= polled.in_time
    urgent = len(arrivals[::_URGENT_EVERY])
    assert offered.urgent_in_time >= 0.99 * urgent
    assert polled.urgent_in_time < 0.95 * urgent


def test_slot_of_a_server_is_offered_to_requests_that_may_use_it() -> None:
    line = WaitingLine()
    line.enter(WaitingRank((0,), 1, 1), {'s1'})
    line.enter(WaitingRank((1,), 2, 2), {'s2'})
    first = line.find_first('s2')
    assert first is not None
    assert first.number == 2
    line.leave(first)
    assert line.find_first('s2') is None
    assert len(line) == 1
