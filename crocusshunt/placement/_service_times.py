"""Estimates of service times at backend servers, without queueing."""

from dataclasses import dataclass, field

# Weights of the newest request in the moving averages.
_ROUTE_WEIGHT = 0.1
_POOL_WEIGHT = 0.1
_SERVER_WEIGHT = 0.15
# Part of the latency objective that is assumed before the first measurement.
_INITIAL_OBJECTIVE_SHARE = 0.45
# Bounds of one measured slowdown.
_MAX_SLOWDOWN = 20
_MIN_SLOWDOWN = 0.2


@dataclass(frozen=True, slots=True)
class Timing:
    """Measured time of one answered request.

    :param objective_s: the route's latency objective in seconds, from which
        the service time is estimated before the first measurement.
    :param took_s: time from sending the request to its answer, without the
        network round trip, in seconds.
    :param load: highest number of requests at the server seen meanwhile.
    :param slots: requests that the server runs at once.
    """

    route: str
    objective_s: float
    pool: str
    server: str
    took_s: float
    load: float
    slots: int

    @property
    def service_s(self) -> float:
        """Return the estimated time without queueing, in seconds.

        With more requests than slots, it is the total time multiplied by
        ``slots / (load + 1)``.
        """
        return self.took_s * self.slots / max(self.slots, self.load + 1)


@dataclass(slots=True)
class ServiceTimes:
    """Exponential moving averages of service times by route and pool.

    For each server a slowdown is kept as well: its service time relative to
    the route's average, 2 for a server that takes twice as long.

    >>> times = ServiceTimes()
    >>> times.estimate_service_time('r', 1, 's1')
    0.45
    >>> times.note(Timing('r', 1, 'p', 's1', took_s=0.2, load=0, slots=4))
    >>> round(times.estimate_service_time('r', 1, 's2'), 2)
    0.42
    """

    _routes: dict[str, float] = field(default_factory=dict)
    _pools: dict[str, float] = field(default_factory=dict)
    _slowdowns: dict[str, float] = field(default_factory=dict)

    def estimate_route(self, route: str, objective_s: float) -> float:
        """Return the mean service time of a route, in seconds."""
        return self._routes.get(route, _INITIAL_OBJECTIVE_SHARE * objective_s)

    def estimate_service_time(
        self,
        route: str,
        objective_s: float,
        server: str,
    ) -> float:
        """Return the expected service time of a request, in seconds."""
        average_s = self.estimate_route(route, objective_s)
        return average_s * self._slowdowns.get(server, 1)

    def estimate_slot_release(
        self, pool: str, objective_s: float, server: str
    ) -> float:
        """Return how long a request of a pool occupies a slot, in seconds."""
        average_s = self._pools.get(
            pool, _INITIAL_OBJECTIVE_SHARE * objective_s
        )
        return average_s * self._slowdowns.get(server, 1)

    def note(self, timing: Timing) -> None:
        """Record the time of an answered request."""
        service_s = timing.service_s
        average_s = self.estimate_route(timing.route, timing.objective_s)
        known_slowdown = self._slowdowns.get(timing.server, 1)
        slowdown = max(_MIN_SLOWDOWN, min(_MAX_SLOWDOWN, service_s / average_s))
        self._slowdowns[timing.server] = _smooth(
            known_slowdown, slowdown, _SERVER_WEIGHT
        )
        self._routes[timing.route] = _smooth(
            average_s, service_s, _ROUTE_WEIGHT
        )
        pool_average_s = self._pools.get(timing.pool, average_s)
        self._pools[timing.pool] = _smooth(
            pool_average_s, service_s, _POOL_WEIGHT
        )

    def forget(self, server: str) -> None:
        """Drop the slowdown of a server that was removed."""
        self._slowdowns.pop(server, None)


def _smooth(known: float, newest: float, weight: float) -> float:
    return known + weight * (newest - known)
