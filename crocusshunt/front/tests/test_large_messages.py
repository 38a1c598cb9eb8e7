"""Sizes of messages about leases, with many customers."""

from typing import cast

import msgspec
import pytest

from crocusshunt.catalog import Catalog, CatalogIndex, CustomerRule
from crocusshunt.fleet import (
    MAX_DATAGRAM_BYTES,
    DatagramEndpoint,
    Heartbeat,
    decode_message,
    encode,
    split_status,
)
from crocusshunt.front.tests._region import Region

_CUSTOMERS = 300
_ROUNDS = 6
_RATE = 100
# Of such a rate each region has one bucket.
_SMALL_RATE = 2
_POOLS = 60
_REGIONS = 6


class _Frames:
    """Notes the largest message of each kind, and delivers them all."""

    def __init__(self, endpoint: DatagramEndpoint, sizes: dict[str, int]):
        self._endpoint = endpoint
        self._sizes = sizes

    def send(self, content: bytes, host: str, port: int) -> None:
        kind = type(decode_message(content)).__name__
        self._sizes[kind] = max(len(content), self._sizes.get(kind, 0))
        self._endpoint.send(content, host, port)


def _play(names: tuple[str, ...], rate: float = _RATE) -> dict[str, int]:
    """Let one host get all requests of all customers."""
    region = Region(names=names)
    rules = tuple(
        CustomerRule(f'cust{number:06}', rate=rate, burst=rate)
        for number in range(_CUSTOMERS)
    )
    sizes: dict[str, int] = {}
    for name in names:
        loop = region.start(name)
        loop.cluster.index = CatalogIndex(Catalog(1, customers=rules))
        loop.followers.hosts.image.rows[name] = b''  # type: ignore[assignment]
        endpoint = cast(DatagramEndpoint, loop.outbox.endpoint)
        loop.outbox.endpoint = cast(DatagramEndpoint, _Frames(endpoint, sizes))
    for _ in range(_ROUNDS):
        now = region.clock.monotonic()
        demand = region.hosts[names[0]].tokens.limits.demand
        for rule in rules:
            demand.count(rule.name, now, rate)
        for loop in region.hosts.values():
            loop.run_once()
        region.clock.advance(1)  # type: ignore[attr-defined]
    return sizes


@pytest.mark.parametrize('kind', ['PartRequest', 'PartLeases'])
@pytest.mark.parametrize(
    'names', [('a1', 'a2'), ('a1', 'b1')], ids=('near', 'apart')
)
def test_messages_about_leases_do_not_grow_with_customers(
    kind: str, names: tuple[str, ...]
) -> None:
    """The network dropped them, and parts of rates went unused."""
    assert _play(names).get(kind, 0) <= MAX_DATAGRAM_BYTES


def test_notices_of_leases_do_not_grow_with_customers() -> None:
    """The network dropped them, and parts of rates went unused."""
    sizes = _play(('a1', 'a2'), _SMALL_RATE)
    assert 0 < sizes['LeaseNotice'] <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize('name', ['pinned', 'divisions'])
def test_heartbeat_does_not_grow_with_pools_and_regions(name: str) -> None:
    """The network dropped it, and its host counted as silent."""
    pools = [f'pool-{number:03}' for number in range(_POOLS)]
    regions = [f'region-{number}' for number in range(_REGIONS)]
    contents = {
        'pinned': {one: dict.fromkeys(pools, 1.25) for one in regions},
        'divisions': {
            one: (0.5, dict.fromkeys(regions, 0.25)) for one in pools
        },
    }
    heartbeat = msgspec.structs.replace(
        Heartbeat('a1', 1, 1, is_ready=True), **{name: contents[name]}
    )
    sizes = [len(encode(one)) for one in split_status(heartbeat)]
    assert max(sizes) <= MAX_DATAGRAM_BYTES
