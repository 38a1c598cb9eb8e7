"""Indexed look-ups in a catalog."""

from hashlib import blake2b

from crocusshunt.catalog._prefixes import PrefixTable
from crocusshunt.catalog._rules import (
    Catalog,
    CustomerRule,
    PoolRule,
    RouteRule,
)

_DIGEST_BYTES = 16


def digest_key(key: str) -> bytes:
    """Return the digest by which a caller's key is stored and found.

    It is unsalted BLAKE2b of 16 bytes.

    >>> digest_key('a') == digest_key('a'), digest_key('a') == digest_key('b')
    (True, False)
    """
    return blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()


class CatalogIndex:
    """Finds routes, pools and customers of a catalog.

    >>> wide = RouteRule('wide', 'example', '/a/', ())
    >>> narrow = RouteRule('narrow', 'example', '/a/b/', ())
    >>> index = CatalogIndex(Catalog(1, routes=(wide, narrow)))
    >>> index.match('EXAMPLE:80', '/a/b/c?d').name
    'narrow'
    >>> index.match('example.', '/a/').name
    'wide'
    >>> index.match('example', '/b/') is None
    True
    """

    def __init__(self, catalog: Catalog) -> None:
        """Build the indexes of a catalog."""
        self.catalog = catalog
        self.pools = {pool.name: pool for pool in catalog.pools}
        self.customers = {one.name: one for one in catalog.customers}
        self._customers_by_key = {
            digest: one
            for one in catalog.customers
            for digest in one.key_digests
        }
        self._top_priorities: dict[str, int] = {}
        for rule in catalog.routes:
            for target in rule.targets:
                known = self._top_priorities.get(target.pool, rule.priority)
                self._top_priorities[target.pool] = min(known, rule.priority)
        self._routes_by_host: dict[str, PrefixTable] = {}
        for route in catalog.routes:
            host = route.host.lower().removesuffix('.')
            table = self._routes_by_host.setdefault(host, PrefixTable())
            table.add(route)

    @property
    def has_customers(self) -> bool:
        """Tell whether there are customers.

        Without any, requests for routes that are not public need no key.
        """
        return bool(self.customers)

    def match(self, host: str, target: str) -> RouteRule | None:
        """Return the route with the longest matching prefix, None without one.

        :param host: value of the Host header.
        :param target: path and query of the request, not normalized.
        """
        path = target.partition('?')[0]
        # A final dot only says that the name is complete.
        name = host.partition(':')[0].lower().removesuffix('.')
        table = self._routes_by_host.get(name)
        return None if table is None else table.match(path)

    def find_customer(self, key: str) -> CustomerRule | None:
        """Return the customer that has a key, None for an unknown key."""
        return self._customers_by_key.get(digest_key(key))

    def find_top_priority(self, pool: str) -> int:
        """Return the priority of the most urgent route to a pool.

        The lowest number is the most urgent; 0 for a pool without a route.
        """
        return self._top_priorities.get(pool, 0)

    def find_pool(self, name: str) -> PoolRule:
        """Return a pool's rule, one with defaults if the catalog has none."""
        return self.pools.get(name) or PoolRule(name)
