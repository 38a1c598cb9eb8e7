"""Choice of the route for a request."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.core import IPAddress, IPNetwork, parse_network
from crocusshunt.routing._rows import Route


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """What a request shows that routes match on.

    :param customer: customer of the key, empty without a valid key.
    """

    host: str
    path: str
    method: str
    customer: str
    client: IPAddress


def order_routes(routes: Iterable[Route]) -> tuple[Route, ...]:
    """Sort routes by precedence: order, then longest prefix, then name.

    >>> wide, narrow = Route('a', 'p'), Route('b', 'p', path_prefix='/x/')
    >>> [route.name for route in order_routes((wide, narrow))]
    ['b', 'a']
    """
    return tuple(
        sorted(
            routes,
            key=lambda route: (
                route.order,
                -len(route.path_prefix),
                route.name,
            ),
        ),
    )


@dataclass(frozen=True, slots=True)
class _PreparedRoute:
    route: Route
    networks: tuple[IPNetwork, ...]

    def is_match(self, facts: RequestAttributes) -> bool:
        route = self.route
        if not is_under(facts.path, route.path_prefix):
            return False
        listed = (
            _is_listed(facts.method, route.methods),
            _is_listed(facts.host, route.hosts),
            _is_listed(facts.customer, route.customers),
        )
        return all(listed) and self._has_client(facts.client)

    def _has_client(self, client: IPAddress) -> bool:
        if not self.networks:
            return True
        return any(
            client.version == network.version and client in network
            for network in self.networks
        )


class RouteMatcher:
    """Finds the first route, by precedence, that matches a request.

    >>> from ipaddress import ip_address
    >>> matcher = RouteMatcher((Route('read', 'verify', path_prefix='/v/'),))
    >>> client = ip_address('10.0.0.1')
    >>> facts = RequestAttributes('abay', '/v/1', 'GET', 'court', client)
    >>> matcher.find(facts).name
    'read'
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Prepare the networks of all routes.

        :param routes: checked routes in any order.
        """
        self._routes = tuple(_prepare(route) for route in order_routes(routes))

    def find(self, facts: RequestAttributes) -> Route | None:
        """Return the matching route of highest precedence, or None."""
        for prepared in self._routes:
            if prepared.is_match(facts):
                return prepared.route
        return None


def _prepare(route: Route) -> _PreparedRoute:
    networks = tuple(
        parse_network(prefix).unwrap() for prefix in route.client_prefixes
    )
    return _PreparedRoute(route, networks)


def _is_listed(text: str, allowed: tuple[str, ...]) -> bool:
    return not allowed or text in allowed


def is_under(path: str, prefix: str) -> bool:
    """Tell whether a path lies under a prefix, in whole segments.

    >>> is_under('/v/1', '/v'), is_under('/vx', '/v')
    (True, False)
    """
    if not path.startswith(prefix):
        return False
    if prefix.endswith('/') or path == prefix:
        return True
    return path[len(prefix)] == '/'
