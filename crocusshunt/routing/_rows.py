"""Row types of the operators' configuration tables."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

from crocusshunt.routing._registry import register_table

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
Address = Annotated[str, Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
PathPrefix = Annotated[str, Meta(pattern='^/')]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Weight = Annotated[int, Meta(ge=0, le=1000)]
_HOUR_MS = 3_600_000
Milliseconds = Annotated[int, Meta(ge=1, le=_HOUR_MS)]


class Access(str, Enum):
    """Who may use a route."""

    keyed = 'keyed'
    open = 'open'


class Priority(str, Enum):
    """Priority of waiting requests, from highest to lowest."""

    urgent = 'urgent'
    normal = 'normal'
    deferrable = 'deferrable'


class RetryClass(str, Enum):
    """Which failed attempts the gateway may retry on another server.

    ``never`` retries none, ``not_run`` those that certainly did not run,
    ``idempotent`` also those of unknown outcome.
    """

    never = 'never'
    not_run = 'not_run'
    idempotent = 'idempotent'


class ServerState(str, Enum):
    """Whether a backend server gets new requests."""

    active = 'active'
    draining = 'draining'


@register_table('route')
@dataclass(frozen=True, slots=True)
class Route:
    """Rule that sends matching requests to a pool.

    An empty tuple matches everything. Of several matching routes the one with
    the lowest ``order`` is used, then with the longest path prefix, then with
    the first name.

    :param hosts: values of the Host header, without port.
    :param methods: HTTP methods.
    :param customers: customers whose requests match.
    :param client_prefixes: networks of callers, in CIDR notation.
    :param idempotent: whether running a request twice is harmless.
    :param deadline_ms: longest time for one request, in milliseconds.
    """

    name: Name
    pool: str
    order: int = 100
    hosts: tuple[str, ...] = ()
    path_prefix: PathPrefix = '/'
    methods: tuple[str, ...] = ()
    customers: tuple[str, ...] = ()
    client_prefixes: tuple[str, ...] = ()
    access: Access = Access.keyed
    idempotent: bool = True
    priority: Priority = Priority.normal
    deadline_ms: Milliseconds = 10_000
    retry: RetryClass = RetryClass.not_run


@register_table('pool')
@dataclass(frozen=True, slots=True)
class Pool:
    """A set of backend servers that serve the same requests."""

    name: Name


@register_table('server')
@dataclass(frozen=True, slots=True)
class Server:
    """A backend server of a pool.

    :param address: ``ip:port``.
    :param slots: greatest number of requests that it runs at once.
    :param weight: share of new requests, relative to the pool's other servers.
    """

    name: Name
    pool: str
    address: Address
    region: str
    failure_domain: str
    slots: Count
    weight: Weight = 100
    state: ServerState = ServerState.active


@register_table('customer')
@dataclass(frozen=True, slots=True)
class Customer:
    """A customer's rate limit, enforced over all hosts together.

    :param rate: requests per second.
    :param burst: size of the token bucket, in requests.
    """

    name: Name
    rate: Positive
    burst: Count


@register_table('failure_domain')
@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and the region in which it lies."""

    name: Name
    region: str


@register_table('link')
@dataclass(frozen=True, slots=True)
class Link:
    """Network link from one region to another.

    :param source: region of the sender.
    :param target: region of the receiver.
    :param mbits: limit in Mbit/s, shared by all traffic.
    :param delay_ms: one-way delay in milliseconds.
    """

    name: Name
    source: str
    target: str
    mbits: Positive
    delay_ms: float


@register_table('block')
@dataclass(frozen=True, slots=True)
class AddressBlock:
    """A block of client addresses and the region nearest to it.

    :param prefix: network in CIDR notation.
    """

    name: Name
    prefix: str
    region: str
