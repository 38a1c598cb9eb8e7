"""Routes of one host name, found by the prefix of a path."""

from bisect import insort
from dataclasses import dataclass, field

from crocusshunt.catalog._rules import RouteRule


@dataclass(slots=True)
class PrefixTable:
    """Finds the route with the longest prefix that a path begins with.

    A look-up costs one step for each length that prefixes have, whatever the
    number of routes.

    >>> table = PrefixTable()
    >>> for name, prefix in (('wide', '/a/'), ('narrow', '/a/b/')):
    ...     table.add(RouteRule(name, 'example', prefix, ()))
    >>> table.match('/a/b/c').name, table.match('/a/').name
    ('narrow', 'wide')
    >>> table.match('/b/') is None
    True
    """

    _routes: dict[str, RouteRule] = field(default_factory=dict)
    # Lengths of the prefixes, negative so that the longest is the first.
    _lengths: list[int] = field(default_factory=list)

    def add(self, route: RouteRule) -> None:
        """Add a route; of two with one prefix, the first by name counts."""
        known = self._routes.get(route.prefix)
        if known is not None and known.name <= route.name:
            return
        self._routes[route.prefix] = route
        length = -len(route.prefix)
        if length not in self._lengths:
            insort(self._lengths, length)

    def match(self, path: str) -> RouteRule | None:
        """Return the route of a path, None without one."""
        for length in self._lengths:
            route = self._routes.get(path[:-length] if length else '')
            if route is not None:
                return route
        return None
