"""How long requests take at backend servers, without their waits."""

from dataclasses import dataclass, field

_NEWEST_IN_ROUTE = 0.1
_NEWEST_IN_POOL = 0.1
_NEWEST_AT_SERVER = 0.15
_GUESS = 0.45
_SLOWEST_PACE = 20
_FASTEST_PACE = 0.2


@dataclass(frozen=True, slots=True)
class Timing:
    """One answered request.

    :param objective_s: the route's latency objective, which serves as a
        guess before anything was measured.
    :param took_s: from its sending to its answer, in seconds.
    :param load: most requests at the server that were seen meanwhile.
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
        """Return the part of the time that was not spent in a queue."""
        return self.took_s * self.slots / max(self.slots, self.load + 1)


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages by route and pool, and each server's pace.

    A pace of 2 means that a server takes twice the usual time.

    >>> times = ServiceTimes()
    >>> times.estimate_service_time('r', 1, 's1')
    0.45
    >>> times.note(Timing('r', 1, 'p', 's1', took_s=0.2, load=0, slots=4))
    >>> round(times.estimate_service_time('r', 1, 's2'), 2)
    0.42
    """

    _routes: dict[str, float] = field(default_factory=dict)
    _pools: dict[str, float] = field(default_factory=dict)
    _paces: dict[str, float] = field(default_factory=dict)

    def estimate_service_time(
        self,
        route: str,
        objective_s: float,
        server: str,
    ) -> float:
        """Return the expected time of a request in a slot, in seconds."""
        usual_s = self._routes.get(route, _GUESS * objective_s)
        return usual_s * self._paces.get(server, 1)

    def estimate_slot_release(
        self, pool: str, objective_s: float, server: str
    ) -> float:
        """Return the expected time until a busy slot is free, in seconds."""
        usual_s = self._pools.get(pool, _GUESS * objective_s)
        return usual_s * self._paces.get(server, 1)

    def note(self, timing: Timing) -> None:
        """Take the time of an answered request."""
        service_s = timing.service_s
        usual_s = self._routes.get(timing.route, _GUESS * timing.objective_s)
        known_pace = self._paces.get(timing.server, 1)
        pace = max(_FASTEST_PACE, min(_SLOWEST_PACE, service_s / usual_s))
        self._paces[timing.server] = _blend(known_pace, pace, _NEWEST_AT_SERVER)
        self._routes[timing.route] = _blend(
            usual_s, service_s, _NEWEST_IN_ROUTE
        )
        pool_s = self._pools.get(timing.pool, usual_s)
        self._pools[timing.pool] = _blend(pool_s, service_s, _NEWEST_IN_POOL)

    def forget(self, server: str) -> None:
        """Drop the pace of a server that is gone."""
        self._paces.pop(server, None)


def _blend(known: float, newest: float, weight: float) -> float:
    return known + weight * (newest - known)
