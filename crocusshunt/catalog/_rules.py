"""Rules of a configuration, independent of the format of its source."""

from dataclasses import dataclass, field

_DEFAULT_HEADER_BYTES = 16_384
_DEFAULT_BODY_BYTES = 67_108_864


@dataclass(frozen=True, slots=True)
class Target:
    """A pool that gets a share of a route's requests.

    :param weight: share relative to the route's other targets.
    """

    pool: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Rule for the requests of one route.

    :param host: value of the Host header, without a port.
    :param prefix: prefix of the paths, with a slash at both ends.
    :param targets: pools that serve the route.
    :param is_idempotent: whether a request may be sent again after a failure
        although a server may have run it.
    :param timeout_s: longest time until the final answer, in seconds.
    :param objective_s: latency objective, in seconds.
    :param priority: 0 is the most urgent.
    :param max_attempts: highest number of backend servers to which one request
        may be sent.
    :param is_public: whether a request needs no key.
    :param is_sticky: whether requests for one object prefer one server.
    :param home_regions: the only regions whose servers may serve it, empty for
        all regions.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    is_idempotent: bool = False
    timeout_s: float = 10
    objective_s: float = 1
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_sticky: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PoolRule:
    """Rule for the backend servers of one pool.

    :param cold_s: how long a server is cold, that is slow, after its start, in
        seconds.
    :param cold_rate: requests a second that a cold server can handle, 0 if it
        is not limited.
    :param max_connections: connections that a server accepts from all clients
        together, 0 if not given.
    """

    name: str
    cold_s: float = 0
    cold_rate: float = 0
    max_connections: int = 0


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """Keys, limits and priority of a customer.

    :param key_digests: digests of its keys, see :func:`digest_key`.
    :param priority: priority that takes precedence over that of the routes,
        None if there is none.
    :param rate: requests a second over all hosts, 0 for no limit.
    :param burst: requests accepted at once over all hosts.
    :param home_regions: the only regions whose servers may serve it, empty for
        all regions.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on a caller's requests and connections.

    :param header_bytes: largest size of a request's headers, in bytes.
    :param body_bytes: largest size of a request's body, in bytes.
    :param header_timeout_s: longest time for receiving the headers, in seconds.
    :param idle_timeout_s: longest time for which a connection may be idle, in
        seconds.
    """

    header_bytes: int = _DEFAULT_HEADER_BYTES
    body_bytes: int = _DEFAULT_BODY_BYTES
    header_timeout_s: float = 5
    idle_timeout_s: float = 15


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the whole configuration.

    :param version: number that increases with each change.
    """

    version: int
    routes: tuple[RouteRule, ...] = ()
    pools: tuple[PoolRule, ...] = ()
    customers: tuple[CustomerRule, ...] = ()
    limits: RequestLimits = field(default_factory=RequestLimits)
