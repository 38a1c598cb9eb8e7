"""Choice of a backend server."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from crocusshunt.routing import Server, ServerState

_CANDIDATES = 2
_DECREASE = 0.7
_LEAST_LIMIT = 1


class ServerLoads:
    """Requests in flight from this gateway, and its limit per server.

    The limit grows by one for each round of answers, up to the server's
    slots, and shrinks by a part when the server sheds load.

    Reference: D.-M. Chiu, R. Jain, "Analysis of the increase and decrease
    algorithms for congestion avoidance in computer networks", Computer
    Networks and ISDN Systems 17, 1989.
    """

    def __init__(self) -> None:
        """Start with nothing in flight and full limits."""
        self._in_flight: Counter[str] = Counter()
        self._limits: dict[str, float] = {}

    def acquire(self, server: Server) -> None:
        """Count a request that is about to be sent."""
        self._in_flight[server.name] += 1

    def release(self, server: Server) -> None:
        """Count a request that ended."""
        self._in_flight[server.name] -= 1

    def note_answer(self, server: Server) -> None:
        """Raise a lowered limit."""
        limit = self._limits.get(server.name)
        if limit is None:
            return
        self._limits[server.name] = limit + 1 / limit
        if self._limits[server.name] >= server.slots:
            self._limits.pop(server.name)

    def note_shed(self, server: Server) -> None:
        """Lower the limit of a server that had no room."""
        limit = min(self._limits.get(server.name, server.slots), server.slots)
        lowered = max(_LEAST_LIMIT, limit * _DECREASE)
        self._limits[server.name] = lowered

    def measure(self, server: Server) -> float:
        """Return the share of a server's limit in use from here."""
        return self._in_flight[server.name] / self._limit(server)

    def has_room(self, server: Server, scale: float = 1) -> bool:
        """Tell whether a server has a slot left, as seen from here.

        :param scale: part of the limit that may be used; one request
            always may.
        """
        limit = max(_LEAST_LIMIT, int(self._limit(server) * scale))
        return self._in_flight[server.name] < limit

    def _limit(self, server: Server) -> float:
        return self._limits.get(server.name, server.slots)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get a request.

    :param weight: its share of new work, relative to the others.
    """

    server: Server
    weight: float


SelectionPolicy = Callable[
    [Sequence[Candidate], ServerLoads, random.Random], Server
]

_CHOICES: dict[str, SelectionPolicy] = {}


def register_selection_policy(
    name: str,
) -> Callable[[SelectionPolicy], SelectionPolicy]:
    """Return a decorator that registers a way to choose a server.

    :param name: name in settings and measurements.
    """

    def register(function: SelectionPolicy) -> SelectionPolicy:
        _CHOICES[name] = function
        return function

    return register


def find_selection_policy(name: str) -> SelectionPolicy:
    """Return a registered way to choose a server.

    :raises KeyError: the name is not registered.
    """
    return _CHOICES[name]


def list_selection_policies() -> tuple[str, ...]:
    """Return the names of the ways to choose a server.

    >>> list_selection_policies()
    ('least-in-flight', 'power-of-two', 'random')
    """
    return tuple(sorted(_CHOICES))


@register_selection_policy('random')
def choose_random(
    candidates: Sequence[Candidate],
    loads: ServerLoads,
    source: random.Random,
) -> Server:
    """Return a server drawn by weight."""
    weights = [candidate.weight for candidate in candidates]
    return source.choices(candidates, weights)[0].server


@register_selection_policy('least-in-flight')
def choose_least(
    candidates: Sequence[Candidate],
    loads: ServerLoads,
    source: random.Random,
) -> Server:
    """Return a server with the least share of its limit in use."""
    measured = [
        (loads.measure(candidate.server), source.random(), candidate)
        for candidate in candidates
    ]
    return min(measured, key=lambda one: one[:2])[2].server


@register_selection_policy('power-of-two')
def choose_of_two(
    candidates: Sequence[Candidate],
    loads: ServerLoads,
    source: random.Random,
) -> Server:
    """Return the less loaded of two servers drawn by weight.

    Reference: M. Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
    """
    weights = [candidate.weight for candidate in candidates]
    drawn = source.choices(candidates, weights, k=_CANDIDATES)
    return min((one.server for one in drawn), key=loads.measure)


def choose_server(
    servers: Iterable[Server],
    loads: ServerLoads,
    source: random.Random,
    scale: Callable[[Server], float] | None = None,
    choose: SelectionPolicy = choose_of_two,
) -> Server | None:
    """Return a server with room, or None.

    :param servers: servers of the pool; those that drain get no new work.
    :param scale: part of its normal work that a server may get.

    >>> one = Server('s1', 'p', '127.0.0.1:1', 'r', 'd', slots=4)
    >>> choose_server((one,), ServerLoads(), random.Random(1)).name
    's1'
    """
    candidates = []
    for server in servers:
        share = 1 if scale is None else scale(server)
        if _is_open(server) and loads.has_room(server, share):
            candidates.append(Candidate(server, server.weight * share))
    if not candidates:
        return None
    return choose(candidates, loads, source)


def _is_open(server: Server) -> bool:
    return server.state is ServerState.active and server.weight > 0
