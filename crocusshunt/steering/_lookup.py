"""Order of the entry hosts for a caller."""

from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, zip_longest

from crocusshunt.routing import Link
from crocusshunt.store import HostEntry, HostState

_POINTS = 64
# Points that nearly always hold enough different hosts.
_WINDOW = 16
_MOST_HOSTS = 4096
_MOST_RINGS = 128
_DIGEST_BYTES = 8
_UNKNOWN_DELAY_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Caller:
    """Who asks for entry hosts.

    :param identity: stable text of the caller, such as its address and
        customer.
    :param region: region nearest to it, empty if unknown.
    :param targets: regions with backend servers for its route, empty if it
        named none.
    """

    identity: str
    region: str
    targets: frozenset[str] = frozenset()


class _Ring:
    """Hosts of one failure domain on a consistent-hashing ring.

    Reference: D. Karger et al., "Consistent hashing and random trees",
    STOC 1997.
    """

    def __init__(self, hosts: Iterable[HostEntry]) -> None:
        points = sorted(
            (point, host) for host in hosts for point in _list_points(host.name)
        )
        self._points = [point for point, _ in points]
        self._hosts = [host for _, host in points]

    def pick(self, key: int, count: int) -> list[HostEntry]:
        """Return some hosts, each once, in the ring's order from a key."""
        start = bisect_left(self._points, key)
        near = _take_distinct(self._hosts[start : start + _WINDOW], count)
        if len(near) == count:
            return near
        turned = chain(self._hosts[start:], self._hosts[:start])
        return _take_distinct(turned, count)


class EntryHostRanker:
    """Orders the usable hosts for callers.

    >>> host = HostEntry('h1', 'addis', 'addis-a', 'http://h1', '')
    >>> directory = EntryHostRanker((host,), {})
    >>> [host.name for host in directory.rank(Caller('10.0.0.1', 'addis'), 4)]
    ['h1']
    """

    def __init__(
        self,
        hosts: Iterable[HostEntry],
        delays_ms: Mapping[tuple[str, str], float],
        suspects: Collection[str] = (),
    ) -> None:
        """Index the hosts.

        :param hosts: known hosts; the leaving ones are never ranked.
        :param delays_ms: one-way delay by source and target region.
        :param suspects: names of hosts that are ranked after all others.
        """
        self._delays_ms = delays_ms
        live = [host for host in hosts if host.state is HostState.live]
        trusted = [host for host in live if host.name not in suspects]
        self._rings = _create_rings(trusted)
        self._fallback = _create_rings(
            host for host in live if host.name in suspects
        )
        self._orders: dict[tuple[str, frozenset[str]], tuple[str, ...]] = {}

    def rank(self, caller: Caller, count: int) -> tuple[HostEntry, ...]:
        """Return the hosts for a caller, the one to try first leading.

        Near regions come first; within a region the failure domains take
        turns. The order is stable for the caller, and a host that comes or
        goes moves only the callers that it serves.

        :param count: greatest number of hosts.
        """
        key = _hash(caller.identity)
        found: list[HostEntry] = []
        regions = self._order_regions(caller)
        for rings in (self._rings, self._fallback):
            for region in regions:
                missing = count - len(found)
                found += _spread(rings.get(region, ()), key, missing)
                if len(found) == count:
                    return tuple(found)
        return tuple(found)

    def _order_regions(self, caller: Caller) -> tuple[str, ...]:
        place = (caller.region, caller.targets)
        order = self._orders.get(place)
        if order is None:
            regions = {*self._rings, *self._fallback}
            order = tuple(
                sorted(regions, key=lambda name: self._weigh(caller, name)),
            )
            self._orders[place] = order
        return order

    def _weigh(self, caller: Caller, region: str) -> tuple[float, float, str]:
        """Return the delay to the servers, to the region, and its name."""
        first_ms = self._measure(caller.region, region)
        onward_ms = min(
            (self._measure(region, target) for target in caller.targets),
            default=0,
        )
        return first_ms + onward_ms, first_ms, region

    def _measure(self, source: str, target: str) -> float:
        if source == target:
            return 0
        return self._delays_ms.get((source, target), _UNKNOWN_DELAY_MS)


def measure_delays(links: Iterable[Link]) -> dict[tuple[str, str], float]:
    """Return the delay of each link by its regions, in milliseconds."""
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


@lru_cache(maxsize=_MOST_RINGS)
def _create_ring(hosts: tuple[HostEntry, ...]) -> _Ring:
    """Return a ring, the same for a failure domain that did not change."""
    return _Ring(hosts)


def _spread(
    rings: tuple[_Ring, ...],
    key: int,
    count: int,
) -> list[HostEntry]:
    """Take one host of each failure domain in turn."""
    if not rings:
        return []
    start = key % len(rings)
    turned = rings[start:] + rings[:start]
    fair = -(-count // len(rings))
    picks = [ring.pick(key, fair) for ring in turned]
    if sum(map(len, picks)) < count:
        # Some failure domain is small; the others make up for it.
        picks = [ring.pick(key, count) for ring in turned]
    turns = chain.from_iterable(zip_longest(*picks))
    return [host for host in turns if host is not None][:count]


def _take_distinct(
    hosts: Iterable[HostEntry],
    count: int,
) -> list[HostEntry]:
    found: dict[str, HostEntry] = {}
    for host in hosts:
        found[host.name] = host
        if len(found) == count:
            break
    return list(found.values())


@lru_cache(maxsize=_MOST_HOSTS)
def _list_points(name: str) -> tuple[int, ...]:
    return tuple(_hash(f'{name}\0{point}') for point in range(_POINTS))


def _hash(text: str) -> int:
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')
