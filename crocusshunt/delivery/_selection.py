"""Load-balancing policies that select a backend server."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from crocusshunt.routing import Server, ServerState

_DRAWN_CANDIDATES = 2
_DECREASE_FACTOR = 0.7
_MIN_LIMIT = 1


class ServerLoads:
    """Requests in flight from this gateway, and a limit on them, per server.

    The limit follows additive increase and multiplicative decrease: it grows
    by ``1 / limit`` with each response, so by about one per ``limit``
    responses, up to the server's slots, and is multiplied by 0.7 when the
    server sheds a request.

    Reference: D.-M. Chiu, R. Jain, "Analysis of the increase and decrease
    algorithms for congestion avoidance in computer networks", Computer
    Networks and ISDN Systems 17, 1989.
    """

    def __init__(self) -> None:
        """Start with nothing in flight and each limit at the server's slots."""
        self._in_flight: Counter[str] = Counter()
        self._limits: dict[str, float] = {}

    def acquire(self, server: Server) -> None:
        """Count a request that is about to be sent."""
        self._in_flight[server.name] += 1

    def release(self, server: Server) -> None:
        """Stop counting a request that has ended."""
        self._in_flight[server.name] -= 1

    def note_answer(self, server: Server) -> None:
        """Raise a lowered limit after a response."""
        limit = self._limits.get(server.name)
        if limit is None:
            return
        self._limits[server.name] = limit + 1 / limit
        if self._limits[server.name] >= server.slots:
            self._limits.pop(server.name)

    def note_shed(self, server: Server) -> None:
        """Lower the limit of a server that refused a request as overloaded."""
        limit = min(self._limits.get(server.name, server.slots), server.slots)
        lowered = max(_MIN_LIMIT, limit * _DECREASE_FACTOR)
        self._limits[server.name] = lowered

    def find_utilization(self, server: Server) -> float:
        """Return the fraction of a server's limit that is in flight."""
        return self._in_flight[server.name] / self._limit(server)

    def has_room(self, server: Server, scale: float = 1) -> bool:
        """Tell whether this gateway may send a server another request.

        :param scale: fraction of the limit that may be used; one request is
            always allowed.
        """
        limit = max(_MIN_LIMIT, int(self._limit(server) * scale))
        return self._in_flight[server.name] < limit

    def _limit(self, server: Server) -> float:
        return self._limits.get(server.name, server.slots)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be selected.

    :param weight: its share of new requests, relative to other candidates.
    """

    server: Server
    weight: float


SelectionPolicy = Callable[
    [Sequence[Candidate], ServerLoads, random.Random], Server
]

_POLICIES: dict[str, SelectionPolicy] = {}


def register_selection_policy(
    name: str,
) -> Callable[[SelectionPolicy], SelectionPolicy]:
    """Return a decorator that registers a selection policy.

    :param name: name in settings and benchmarks.
    """

    def register(function: SelectionPolicy) -> SelectionPolicy:
        _POLICIES[name] = function
        return function

    return register


def find_selection_policy(name: str) -> SelectionPolicy:
    """Return the selection policy registered under a name.

    :raises KeyError: the name is not registered.
    """
    return _POLICIES[name]


def list_selection_policies() -> tuple[str, ...]:
    """Return the names of all selection policies, sorted.

    >>> list_selection_policies()
    ('least-in-flight', 'power-of-two', 'random')
    """
    return tuple(sorted(_POLICIES))


@register_selection_policy('random')
def choose_random(
    candidates: Sequence[Candidate],
    loads: ServerLoads,
    rng: random.Random,
) -> Server:
    """Return a random server, drawn by weight."""
    weights = [candidate.weight for candidate in candidates]
    return rng.choices(candidates, weights)[0].server


@register_selection_policy('least-in-flight')
def choose_least_loaded(
    candidates: Sequence[Candidate],
    loads: ServerLoads,
    rng: random.Random,
) -> Server:
    """Return the server with the lowest utilization, ties at random."""
    ranked = [
        (loads.find_utilization(candidate.server), rng.random(), candidate)
        for candidate in candidates
    ]
    return min(ranked, key=lambda entry: entry[:2])[2].server


@register_selection_policy('power-of-two')
def choose_power_of_two(
    candidates: Sequence[Candidate],
    loads: ServerLoads,
    rng: random.Random,
) -> Server:
    """Return the less loaded of two servers drawn by weight.

    Reference: M. Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
    """
    weights = [candidate.weight for candidate in candidates]
    drawn = rng.choices(candidates, weights, k=_DRAWN_CANDIDATES)
    return min(
        (candidate.server for candidate in drawn), key=loads.find_utilization
    )


def choose_server(
    servers: Iterable[Server],
    loads: ServerLoads,
    rng: random.Random,
    scale: Callable[[Server], float] | None = None,
    choose: SelectionPolicy = choose_power_of_two,
) -> Server | None:
    """Return a server that has room for a request, or None.

    :param servers: servers of the pool; draining ones are not selected.
    :param scale: returns the fraction of its normal work that a server may
        get, up to 1.
    :param choose: selection policy.

    >>> server = Server('s1', 'p', '127.0.0.1:1', 'r', 'd', slots=4)
    >>> choose_server((server,), ServerLoads(), random.Random(1)).name
    's1'
    """
    candidates = []
    for server in servers:
        share = 1 if scale is None else scale(server)
        if _accepts_work(server) and loads.has_room(server, share):
            candidates.append(Candidate(server, server.weight * share))
    if not candidates:
        return None
    return choose(candidates, loads, rng)


def _accepts_work(server: Server) -> bool:
    return server.state is ServerState.active and server.weight > 0
