"""Choice of a backend server."""

import random
from collections import Counter
from collections.abc import Iterable

from crocusshunt.routing import Server, ServerState

_CANDIDATES = 2


class ServerLoads:
    """Requests in flight from this gateway, by server name."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self._in_flight: Counter[str] = Counter()

    def acquire(self, server: Server) -> None:
        """Count a request that is about to be sent."""
        self._in_flight[server.name] += 1

    def release(self, server: Server) -> None:
        """Count a request that ended."""
        self._in_flight[server.name] -= 1

    def measure(self, server: Server) -> float:
        """Return the share of a server's slots in use from here."""
        return self._in_flight[server.name] / server.slots

    def has_room(self, server: Server) -> bool:
        """Tell whether a server has a slot left, as seen from here."""
        return self._in_flight[server.name] < server.slots


def choose_server(
    servers: Iterable[Server],
    loads: ServerLoads,
    source: random.Random,
) -> Server | None:
    """Return the less loaded of two servers drawn by weight, or None.

    :param servers: servers of the pool; those that drain get no new work.

    >>> one = Server('s1', 'p', '127.0.0.1:1', 'r', 'd', slots=4)
    >>> choose_server((one,), ServerLoads(), random.Random(1)).name
    's1'

    Reference: M. Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
    """
    open_servers = [
        server
        for server in servers
        if server.state is ServerState.active
        and server.weight > 0
        and loads.has_room(server)
    ]
    if not open_servers:
        return None
    weights = [server.weight for server in open_servers]
    drawn = source.choices(open_servers, weights, k=_CANDIDATES)
    return min(drawn, key=loads.measure)
