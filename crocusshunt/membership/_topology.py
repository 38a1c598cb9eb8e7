"""Which hosts a host probes."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from crocusshunt.messages import Member

_NEAR_RINGS = 2
_DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class Subjects:
    """Names of the hosts that a host probes.

    :param near: hosts of its own region.
    :param far: hosts of other regions.
    """

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()


def assign_subjects(me: str, members: Iterable[Member]) -> Subjects:
    """Return the hosts that a host probes.

    Within a region a host probes its successor on each of two pseudo-random
    rings. Between two regions, both in pseudo-random order, host i of one is
    probed by the host at the same relative place of the other. So a host
    probes 2 hosts and about one of each other region, whatever the number of
    hosts, and each host is probed by every region.

    :param me: name of the probing host, itself a member.
    :param members: all hosts.

    >>> from crocusshunt.messages import Member
    >>> hosts = [Member(n, n[0], 'd', '', '') for n in ('a1', 'a2', 'b1')]
    >>> assign_subjects('a1', hosts)
    Subjects(near=('a2',), far=('b1',))

    Reference: L. Suresh et al., "Stable and consistent membership at scale
    with Rapid", USENIX ATC 2018 (probing along pseudo-random rings).
    """
    regions: dict[str, list[str]] = {}
    mine = ''
    for member in members:
        regions.setdefault(member.region, []).append(member.name)
        mine = member.region if member.name == me else mine
    if not mine:
        return Subjects()
    near = {
        _find_successor(me, _order(regions[mine], ring))
        for ring in range(_NEAR_RINGS)
    }
    peers = _order(regions[mine], 0)
    far = [
        name
        for region in sorted(regions)
        if region != mine
        for name in _match(me, peers, _order(regions[region], 0))
    ]
    return Subjects(tuple(sorted(near - {me})), tuple(far))


def _order(names: Iterable[str], ring: int) -> list[str]:
    return sorted(names, key=lambda name: (_place(name, ring), name))


def _place(name: str, ring: int) -> bytes:
    text = f'{ring}\0{name}'.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).digest()


def _find_successor(me: str, ring: list[str]) -> str:
    return ring[(ring.index(me) + 1) % len(ring)]


def _match(me: str, peers: list[str], others: list[str]) -> list[str]:
    place = peers.index(me)
    return [
        name
        for position, name in enumerate(others)
        if position * len(peers) // len(others) == place
    ]
