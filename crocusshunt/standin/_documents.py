"""Documents in the platform's formats, for the store and for hosts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from crocusshunt.standin._ports import LOOPBACK

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
SERVERS_TABLE = 'servers'


@dataclass(frozen=True, slots=True)
class CustomerDocument:
    """A customer in a configuration document.

    :param keys: its API keys.
    :param rate: in requests a second.
    :param burst: number of requests that it may send at once.
    """

    name: str
    keys: tuple[str, ...]
    rate: float = 0
    burst: float = 0


def describe_route(**changes: Any) -> dict[str, Any]:
    """Return the specification of a route, with defaults for tests.

    :param changes: fields that differ from the defaults.

    >>> describe_route(prefix='/b/')['prefix']
    '/b/'
    """
    spec = {
        'host': 'a.example',
        'prefix': '/a/',
        'kind': 'idempotent',
        'timeout_s': 5.0,
        'target_latency_s': 0.5,
        'priority': 0,
        'service': 'pool',
        'max_attempts': 2,
        'public': False,
        'sticky': True,
        'home_regions': [],
    }
    return {**spec, **changes}


def encode_configuration(
    version: int,
    routes: Iterable[dict[str, Any]],
    customers: Iterable[CustomerDocument],
    pools: Iterable[str] = (),
    limits: Mapping[str, Any] | None = None,
) -> bytes:
    """Return the row content of a configuration.

    :param pools: names of the pools that the configuration lists.
    :param limits: limits on requests and connections, None to give none.
    """
    resources = [
        _describe_resource('routes', f'r{number}', spec)
        for number, spec in enumerate(routes)
    ]
    for customer in customers:
        spec = {
            'api_keys': customer.keys,
            'rate_per_s': customer.rate,
            'burst': customer.burst,
        }
        resources.append(_describe_resource('tenants', customer.name, spec))
    resources.extend(_describe_resource('services', pool, {}) for pool in pools)
    if limits is not None:
        resources.append(_describe_resource('limits', 'limits', limits))
    document = {'version': f'{version:08x}', 'resources': resources}
    return msgspec.json.encode(document)


def encode_server(
    address: str,
    pool: str,
    failure_domain: str,
    state: str = 'ready',
    born: int = 1,
) -> bytes:
    """Return the row content of the entry of a backend server.

    :param born: Unix time of its start in milliseconds.
    """
    entry = {
        'address': address,
        'born': born,
        'info': {
            'service': pool,
            'version': 'v1',
            'zone': failure_domain,
            'slots': 4,
        },
        'status': {'state': state, 'sequence': 1, 'cold_left_s': 0},
    }
    return msgspec.json.encode(entry)


@dataclass(frozen=True, slots=True)
class HostDocument:
    """Settings of a host on the loopback address.

    :param first_port: for requests; readiness, look-ups and traffic between
        hosts take the ports after it.
    :param store: address of the store, ``ip:port``.
    :param grace_s: time from SIGTERM until the process is killed, in seconds.
    :param retry_extra: retries a window, over all hosts, beyond the ratio.
    :param limits: limits of its process, by name, None to give none.
    """

    name: str
    failure_domain: str
    first_port: int
    store: str
    grace_s: float = 6
    retry_extra: float = 60
    limits: Mapping[str, float] | None = None

    @property
    def front(self) -> str:
        """Return the address for requests."""
        return self._format_address(0)

    @property
    def ready(self) -> str:
        """Return the address for readiness checks."""
        return self._format_address(1)

    @property
    def directory(self) -> str:
        """Return the address for look-ups."""
        return self._format_address(2)

    @property
    def internal_ports(self) -> tuple[int, int]:
        """Return the ports for traffic between hosts and for metrics."""
        return (self.first_port + 3, self.first_port + 4)

    def _format_address(self, port_offset: int) -> str:
        return f'{LOOPBACK}:{self.first_port + port_offset}'


def encode_settings(host: HostDocument, regions: dict[str, str]) -> bytes:
    """Return the content of the settings file of a host.

    :param regions: region of each failure domain.
    """
    own_host: dict[str, Any] = {
        'node_name': host.name,
        'ip': LOOPBACK,
        'zone': host.failure_domain,
        'region': regions[host.failure_domain],
    }
    if host.limits is not None:
        own_host['limits'] = host.limits
    document = {
        'self': own_host,
        'network': {
            'listen': {
                'front': host.front,
                'ready': host.ready,
                'directory': host.directory,
            },
            'internal_ports': host.internal_ports,
            'zones': regions,
        },
        'platform': {'platform': {'address': host.store}},
        'terms': {
            'bounds': {
                'grace_s': host.grace_s,
                'budget_extra': host.retry_extra,
            }
        },
    }
    return msgspec.json.encode(document)


def _describe_resource(
    kind: str,
    name: str,
    spec: Mapping[str, Any],
) -> dict[str, Any]:
    return {'resource_kind': kind, 'metadata': {'name': name}, 'spec': spec}
