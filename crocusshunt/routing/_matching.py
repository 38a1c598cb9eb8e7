"""Matching of requests to routes."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.core import IPAddress, IPNetwork, parse_network
from crocusshunt.routing._rows import Route


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """Attributes of a request on which routes match.

    :param host: value of the Host header, without port.
    :param path: percent-decoded path.
    :param customer: customer of the key, empty without a valid key.
    :param client: address of the caller.
    """

    host: str
    path: str
    method: str
    customer: str
    client: IPAddress


def order_routes(routes: Iterable[Route]) -> tuple[Route, ...]:
    """Sort routes by precedence: lowest order, then longest prefix, then name.

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
class _ParsedRoute:
    route: Route
    networks: tuple[IPNetwork, ...]

    def is_match(self, request: RequestAttributes) -> bool:
        route = self.route
        if not is_under(request.path, route.path_prefix):
            return False
        matches = (
            _is_listed(request.method, route.methods),
            _is_listed(request.host, route.hosts),
            _is_listed(request.customer, route.customers),
        )
        return all(matches) and self._matches_client(request.client)

    def _matches_client(self, client: IPAddress) -> bool:
        if not self.networks:
            return True
        return any(
            client.version == network.version and client in network
            for network in self.networks
        )


class RouteMatcher:
    """Finds the matching route of highest precedence for a request.

    >>> from ipaddress import ip_address
    >>> matcher = RouteMatcher((Route('read', 'verify', path_prefix='/v/'),))
    >>> client = ip_address('10.0.0.1')
    >>> request = RequestAttributes('abay', '/v/1', 'GET', 'court', client)
    >>> matcher.find(request).name
    'read'
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Sort the routes and parse their networks.

        :param routes: routes that have passed the checks, in any order.
        """
        self._routes = tuple(
            _parse_networks(route) for route in order_routes(routes)
        )

    def find(self, request: RequestAttributes) -> Route | None:
        """Return the matching route of highest precedence, or None."""
        for parsed in self._routes:
            if parsed.is_match(request):
                return parsed.route
        return None


def _parse_networks(route: Route) -> _ParsedRoute:
    networks = tuple(
        parse_network(prefix).unwrap() for prefix in route.client_prefixes
    )
    return _ParsedRoute(route, networks)


def _is_listed(text: str, allowed: tuple[str, ...]) -> bool:
    return not allowed or text in allowed


def is_under(path: str, prefix: str) -> bool:
    """Tell whether a path has a prefix that ends at a segment boundary.

    >>> is_under('/v/1', '/v'), is_under('/vx', '/v')
    (True, False)
    """
    if not path.startswith(prefix):
        return False
    if prefix.endswith('/') or path == prefix:
        return True
    return path[len(prefix)] == '/'
