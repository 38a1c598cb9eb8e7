"""Which part of a region's objects is served in the region itself."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from crocusshunt.core import draw_uniform, score_rendezvous
from crocusshunt.placement._book import TrackedServer

_SPILL = 'spill'
# Below this utilization requests hardly queue at a server.
_COMFORTABLE_UTILIZATION = 0.5
# Slots; keeps a full region last in the order instead of out of it.
_LEAST_SPARE = 0.01
# Shares of a region's servers that are full; between them nothing moves.
_CROWDED = 0.3
_ROOMY = 0.1
# Per second; objects that move are cold at first where nobody uses them.
_RELIEF_STEP = 0.05
_RETURN_STEP = 0.02
_LEAST_RELIEF = 0.1


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Slots of a pool in a region, and slots that its callers keep busy."""

    slots: float
    demand: float


@dataclass(frozen=True, slots=True)
class Locality:
    """Where a region's requests for one pool go.

    :param local_share: share of objects served in the region itself.
    :param spare: weight of each other region for the remaining objects.
    """

    local_share: float = 1
    spare: Mapping[str, float] | None = None


def plan_locality(
    region: str,
    rooms: Mapping[str, RegionLoad],
) -> Locality:
    """Return how a region's objects are divided.

    A region may use its own slots up to a comfortable utilization, or up to
    the utilization of all regions together where that is higher. What does
    not fit goes to regions that have room left by the same measure.

    >>> rooms = {'a': RegionLoad(10, 13), 'b': RegionLoad(30, 7)}
    >>> plan_locality('a', rooms).local_share
    0.38461538461538464
    """
    slots = sum(room.slots for room in rooms.values())
    demand = sum(room.demand for room in rooms.values())
    utilization = demand / slots if slots else 0
    usable = max(_COMFORTABLE_UTILIZATION, utilization)
    spare = {
        name: max(0, usable * room.slots - room.demand)
        for name, room in rooms.items()
        if name != region
    }
    own = rooms.get(region, RegionLoad(0, 0))
    if own.slots <= 0:
        return Locality(0, spare)
    if own.demand <= usable * own.slots:
        return Locality(1, spare)
    return Locality(usable * own.slots / own.demand, spare)


def adjust_local_factor(
    relief: float, crowded: float, elsewhere: float
) -> float:
    """Return the part of a region's local share that its servers can take.

    The plan counts busy slots and takes all servers for equally fast and
    evenly loaded. Where many of them are full nevertheless, and those of
    other regions are not, more objects go there; they return slowly once
    there is room again.

    :param relief: the part until now, 1 for the whole local share.
    :param crowded: share of the region's servers without a free slot.
    :param elsewhere: the same of all other regions.

    >>> adjust_local_factor(1, 0.5, elsewhere=0)
    0.95
    >>> adjust_local_factor(0.5, 0, elsewhere=0)
    0.52
    >>> adjust_local_factor(0.5, 0.5, elsewhere=0.5)
    0.5
    """
    if crowded >= _CROWDED and elsewhere <= _ROOMY:
        return max(_LEAST_RELIEF, relief - _RELIEF_STEP)
    if crowded <= _ROOMY:
        return min(1, relief + _RETURN_STEP)
    return relief


def rank_servers(
    key: str,
    servers: Iterable[TrackedServer],
    region: str,
    locality: Locality,
) -> Iterator[TrackedServer]:
    """Order servers for an object, the preferred one first.

    All hosts of a region agree on the order without talking to each other.
    Objects beyond the local share prefer another region's server. The less
    preferred part is ordered only when it is asked for.
    """
    local: list[TrackedServer] = []
    remote: list[TrackedServer] = []
    for server in servers:
        (local if server.region == region else remote).append(server)
    stays = draw_uniform(key, _SPILL) < locality.local_share
    spare = locality.spare or {}
    has_spare = any(spare.values())

    def score(server: TrackedServer) -> float:
        entry = server.entry
        weight = float(entry.slots)
        if has_spare and server.region != region:
            weight *= max(_LEAST_SPARE, spare.get(server.region, 0))
        return score_rendezvous(key, entry.name, weight)

    for part in (local, remote) if stays else (remote, local):
        yield from sorted(part, key=score, reverse=True)
