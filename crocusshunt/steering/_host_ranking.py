"""Ranking of the entry hosts for a caller."""

from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, zip_longest

from crocusshunt.routing import Link
from crocusshunt.store import HostEntry, HostState

_POINTS_PER_HOST = 64
# Consecutive ring points that nearly always include enough distinct hosts.
_WINDOW_POINTS = 16
_POINTS_CACHE_SIZE = 4096
_RINGS_CACHE_SIZE = 128
_DIGEST_BYTES = 8
_UNKNOWN_DELAY_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Caller:
    """Caller that asks for entry hosts.

    :param identity: stable identifier of the caller, such as its address
        and customer; its hash selects the position on the rings.
    :param region: region nearest to the caller, empty if unknown.
    :param targets: regions with backend servers for the caller's route,
        empty if it named no route.
    """

    identity: str
    region: str
    targets: frozenset[str] = frozenset()


class _Ring:
    """Hosts of one failure domain on a consistent-hashing ring.

    Each host has a fixed number of pseudo-random points on the ring.

    Reference: D. Karger et al., "Consistent hashing and random trees",
    STOC 1997.
    """

    def __init__(self, hosts: Iterable[HostEntry]) -> None:
        points = sorted(
            (point, host)
            for host in hosts
            for point in _compute_points(host.name)
        )
        self._points = [point for point, _ in points]
        self._hosts = [host for _, host in points]

    def pick(self, key: int, count: int) -> list[HostEntry]:
        """Return distinct hosts in ring order, starting at a key.

        :param key: hash of the caller.
        :param count: maximum number of hosts.
        """
        start = bisect_left(self._points, key)
        nearby = _take_distinct(
            self._hosts[start : start + _WINDOW_POINTS], count
        )
        if len(nearby) == count:
            return nearby
        rotated = chain(self._hosts[start:], self._hosts[:start])
        return _take_distinct(rotated, count)


class EntryHostRanker:
    """Ranks the entry hosts that a caller should try.

    >>> host = HostEntry('h1', 'addis', 'addis-a', 'http://h1', '')
    >>> ranker = EntryHostRanker((host,), {})
    >>> [host.name for host in ranker.rank(Caller('10.0.0.1', 'addis'), 4)]
    ['h1']
    """

    def __init__(
        self,
        hosts: Iterable[HostEntry],
        delays_ms: Mapping[tuple[str, str], float],
        suspects: Collection[str] = (),
    ) -> None:
        """Index the hosts.

        :param hosts: known hosts; those that are leaving are never ranked.
        :param delays_ms: one-way delay in milliseconds by source and target
            region.
        :param suspects: names of hosts that may have failed; they are ranked
            after all others.
        """
        self._delays_ms = delays_ms
        live = [host for host in hosts if host.state is HostState.live]
        unsuspected = [host for host in live if host.name not in suspects]
        self._rings = _create_rings(unsuspected)
        self._suspect_rings = _create_rings(
            host for host in live if host.name in suspects
        )
        self._region_orders: dict[
            tuple[str, frozenset[str]], tuple[str, ...]
        ] = {}

    def rank(self, caller: Caller, count: int) -> tuple[HostEntry, ...]:
        """Return the hosts for a caller, the one to try first at the start.

        Regions are ordered by the delay from the caller by way of the region
        to the nearest region with servers of its route. Within a region
        the failure domains alternate. The order is stable for a caller, and
        adding or removing a host changes the first host of only those
        callers that the host serves.

        :param caller: the caller that asks.
        :param count: maximum number of hosts.
        """
        key = _hash(caller.identity)
        ranked: list[HostEntry] = []
        regions = self._order_regions(caller)
        for rings in (self._rings, self._suspect_rings):
            for region in regions:
                missing = count - len(ranked)
                ranked += _interleave_domains(
                    rings.get(region, ()), key, missing
                )
                if len(ranked) == count:
                    return tuple(ranked)
        return tuple(ranked)

    def _order_regions(self, caller: Caller) -> tuple[str, ...]:
        cache_key = (caller.region, caller.targets)
        order = self._region_orders.get(cache_key)
        if order is None:
            regions = {*self._rings, *self._suspect_rings}
            order = tuple(
                sorted(
                    regions,
                    key=lambda name: self._compute_sort_key(caller, name),
                ),
            )
            self._region_orders[cache_key] = order
        return order

    def _compute_sort_key(
        self, caller: Caller, region: str
    ) -> tuple[float, float, str]:
        """Return the sort key of a region for a caller.

        It consists of the delay by way of the region to the nearest servers
        of the route, the delay to the region itself, both in milliseconds,
        and the region's name as a tie-breaker.
        """
        entry_ms = self._get_delay_ms(caller.region, region)
        remaining_ms = min(
            (self._get_delay_ms(region, target) for target in caller.targets),
            default=0,
        )
        return entry_ms + remaining_ms, entry_ms, region

    def _get_delay_ms(self, source: str, target: str) -> float:
        if source == target:
            return 0
        return self._delays_ms.get((source, target), _UNKNOWN_DELAY_MS)


def index_link_delays(links: Iterable[Link]) -> dict[tuple[str, str], float]:
    """Return the configured delay of each link, in milliseconds.

    The keys are pairs of source and target region.
    """
    return {(link.source, link.target): link.delay_ms for link in links}


def _create_rings(
    hosts: Iterable[HostEntry],
) -> dict[str, tuple[_Ring, ...]]:
    grouped: dict[str, dict[str, list[HostEntry]]] = {}
    for host in hosts:
        domains = grouped.setdefault(host.region, {})
        domains.setdefault(host.failure_domain, []).append(host)
    return {
        region: tuple(
            _create_ring(tuple(domains[name])) for name in sorted(domains)
        )
        for region, domains in grouped.items()
    }


@lru_cache(maxsize=_RINGS_CACHE_SIZE)
def _create_ring(hosts: tuple[HostEntry, ...]) -> _Ring:
    """Return the cached ring of a failure domain whose hosts are the same."""
    return _Ring(hosts)


def _interleave_domains(
    rings: tuple[_Ring, ...],
    key: int,
    count: int,
) -> list[HostEntry]:
    """Return hosts that alternate between the failure domains of a region."""
    if not rings:
        return []
    start = key % len(rings)
    rotated = rings[start:] + rings[:start]
    hosts_per_domain = -(-count // len(rings))
    picks = [ring.pick(key, hosts_per_domain) for ring in rotated]
    if sum(map(len, picks)) < count:
        # A failure domain has fewer hosts than its part; take more hosts
        # from the others.
        picks = [ring.pick(key, count) for ring in rotated]
    alternating = chain.from_iterable(zip_longest(*picks))
    return [host for host in alternating if host is not None][:count]


def _take_distinct(
    hosts: Iterable[HostEntry],
    count: int,
) -> list[HostEntry]:
    distinct: dict[str, HostEntry] = {}
    for host in hosts:
        distinct[host.name] = host
        if len(distinct) == count:
            break
    return list(distinct.values())


@lru_cache(maxsize=_POINTS_CACHE_SIZE)
def _compute_points(name: str) -> tuple[int, ...]:
    return tuple(_hash(f'{name}\0{point}') for point in range(_POINTS_PER_HOST))


def _hash(text: str) -> int:
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')
