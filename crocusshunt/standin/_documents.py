"""Documents that operators and backend servers write into the store."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
SERVERS_TABLE = 'servers'
EMPTIED_PREFIX = 'evacuate/'


@dataclass(frozen=True, slots=True)
class CustomerDocument:
    """A customer of a configuration."""

    name: str
    keys: tuple[str, ...]
    rate: float = 0
    burst: float = 0


def describe_route(**changes: Any) -> dict[str, Any]:
    """Return a route of the configuration.

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
) -> bytes:
    """Return the row content of a configuration."""
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
    document = {'version': f'{version:08x}', 'resources': resources}
    return msgspec.json.encode(document)


def encode_server(
    address: str,
    pool: str,
    failure_domain: str,
    state: str = 'ready',
    born: int = 1,
) -> bytes:
    """Return the row content of a backend server's entry.

    :param born: Unix time of its start in milliseconds.
    """
    entry = {
        'address': address,
        'born': born,
        'info': {'service': pool, 'zone': failure_domain, 'slots': 4},
        'status': {'state': state, 'cold_left_s': 0},
    }
    return msgspec.json.encode(entry)


def _describe_resource(
    kind: str,
    name: str,
    spec: dict[str, Any],
) -> dict[str, Any]:
    return {'resource_kind': kind, 'metadata': {'name': name}, 'spec': spec}
