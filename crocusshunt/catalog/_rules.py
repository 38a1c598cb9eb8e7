"""Values of a configuration, whatever source it came from."""

from dataclasses import dataclass, field

_DEFAULT_HEADER_BYTES = 16_384
_DEFAULT_BODY_BYTES = 67_108_864


@dataclass(frozen=True, slots=True)
class Target:
    """A pool that gets a part of a route's requests.

    :param weight: part relative to the route's other targets.
    """

    pool: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class RouteRule:
    """What is allowed to the requests of one route.

    :param prefix: beginning of the paths, with a slash at both ends.
    :param timeout_s: longest time until the final answer, in seconds.
    :param objective_s: latency objective, in seconds.
    :param priority: rank, 0 is the most urgent.
    :param max_attempts: most backend servers one request may be sent to.
    :param is_public: whether a request needs no key.
    :param is_sticky: whether requests for one object prefer one server.
    :param home_regions: the only regions that may serve it, empty for all.
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
    """How the servers of one pool are to be treated.

    :param cold_s: how long a server is cold after its start, in seconds.
    :param cold_rate: requests a second that a cold server bears, 0 for
        any number.
    :param max_connections: connections a server accepts from all callers.
    """

    name: str
    cold_s: float = 0
    cold_rate: float = 0
    max_connections: int = 0


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """Keys and limits of a customer.

    :param key_digests: see :func:`digest_key`.
    :param priority: rank before the routes' own, None for none.
    :param rate: requests a second over all hosts, 0 for no limit.
    :param burst: requests at once over all hosts.
    :param home_regions: the only regions that may serve it, empty for all.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long its connection may be idle."""

    header_bytes: int = _DEFAULT_HEADER_BYTES
    body_bytes: int = _DEFAULT_BODY_BYTES
    header_timeout_s: float = 5
    idle_timeout_s: float = 15


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the whole configuration."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    pools: tuple[PoolRule, ...] = ()
    customers: tuple[CustomerRule, ...] = ()
    limits: RequestLimits = field(default_factory=RequestLimits)
