"""Assignment of the hosts that each host probes."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from crocusshunt.messages import Member

_RING_COUNT = 2
_DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class ProbeTargets:
    """Names of the hosts that a host probes.

    :param same_region: hosts of its own region.
    :param other_regions: hosts of other regions.
    """

    same_region: tuple[str, ...] = ()
    other_regions: tuple[str, ...] = ()


def assign_probe_targets(
    own_name: str, members: Iterable[Member]
) -> ProbeTargets:
    """Return the names of the hosts that a host probes.

    Within a region a host probes its successor on each of two pseudo-random
    rings. Between two regions, both in pseudo-random order, host i of one is
    probed by the host at the same relative place of the other. So a host
    probes up to 2 hosts of its own region and about one of each other region,
    whatever the number of hosts, and each host is probed by every region.

    :param own_name: name of the probing host, itself a member.
    :param members: all hosts.

    >>> from crocusshunt.messages import Member
    >>> hosts = [Member(n, n[0], 'd', '', '') for n in ('a1', 'a2', 'b1')]
    >>> assign_probe_targets('a1', hosts)
    ProbeTargets(same_region=('a2',), other_regions=('b1',))

    Reference: L. Suresh et al., "Stable and consistent membership at scale
    with Rapid", USENIX ATC 2018 (probing along pseudo-random rings).
    """
    regions: dict[str, list[str]] = {}
    own_region = ''
    for member in members:
        regions.setdefault(member.region, []).append(member.name)
        own_region = member.region if member.name == own_name else own_region
    if not own_region:
        return ProbeTargets()
    same_region = {
        _find_successor(own_name, _order_by_hash(regions[own_region], ring))
        for ring in range(_RING_COUNT)
    }
    own_hosts = _order_by_hash(regions[own_region], 0)
    other_regions = [
        name
        for region in sorted(regions)
        if region != own_region
        for name in _find_counterparts(
            own_name, own_hosts, _order_by_hash(regions[region], 0)
        )
    ]
    return ProbeTargets(
        tuple(sorted(same_region - {own_name})), tuple(other_regions)
    )


def _order_by_hash(names: Iterable[str], ring: int) -> list[str]:
    return sorted(names, key=lambda name: (_hash_position(name, ring), name))


def _hash_position(name: str, ring: int) -> bytes:
    text = f'{ring}\0{name}'.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).digest()


def _find_successor(own_name: str, ring: list[str]) -> str:
    return ring[(ring.index(own_name) + 1) % len(ring)]


def _find_counterparts(
    own_name: str, own_hosts: list[str], others: list[str]
) -> list[str]:
    place = own_hosts.index(own_name)
    return [
        name
        for position, name in enumerate(others)
        if position * len(own_hosts) // len(others) == place
    ]
