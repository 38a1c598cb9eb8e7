"""How long requests of a route take at backend servers."""

from dataclasses import dataclass, field

_WEIGHT_OF_NEWEST = 0.05
_PREFERRED_SHARE = 0.4
_OTHER_SHARE = 1.5


@dataclass(slots=True)
class _Averages:
    preferred_s: float
    other_s: float


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages by route: at the preferred server, and at others.

    >>> times = ServiceTimes()
    >>> times.expect('r', 1, is_preferred=True)
    0.4
    >>> times.note('r', 1, 0.2, is_preferred=True)
    >>> round(times.expect('r', 1, is_preferred=True), 3)
    0.39
    """

    _by_route: dict[str, _Averages] = field(default_factory=dict)

    def expect(
        self,
        route: str,
        objective_s: float,
        *,
        is_preferred: bool,
    ) -> float:
        """Return the expected time without a queue, in seconds.

        :param objective_s: the route's latency objective, which serves as
            a guess before anything was measured.
        """
        known = self._find(route, objective_s)
        return known.preferred_s if is_preferred else known.other_s

    def note(
        self,
        route: str,
        objective_s: float,
        took_s: float,
        *,
        is_preferred: bool,
    ) -> None:
        """Take the time of an answer, in seconds."""
        known = self._find(route, objective_s)
        if is_preferred:
            known.preferred_s += _WEIGHT_OF_NEWEST * (
                took_s - known.preferred_s
            )
        else:
            known.other_s += _WEIGHT_OF_NEWEST * (took_s - known.other_s)

    def _find(self, route: str, objective_s: float) -> _Averages:
        if route not in self._by_route:
            self._by_route[route] = _Averages(
                _PREFERRED_SHARE * objective_s,
                _OTHER_SHARE * objective_s,
            )
        return self._by_route[route]
