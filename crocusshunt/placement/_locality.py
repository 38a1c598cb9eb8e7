"""Division of a region's objects between its own and other regions."""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from crocusshunt.core import draw_uniform, score_rendezvous
from crocusshunt.placement._registry import TrackedServer

_SPILL_SALT = 'spill'
# Up to this utilization requests hardly queue at a server.
_TARGET_UTILIZATION = 0.5
# In slots. A region without spare slots is ranked last instead of left out.
_MIN_SPARE_SLOTS = 0.01
# Shares of a region's servers without a free slot. Above the higher one the
# local factor decreases, below the lower one it increases; between the two it
# stays as it is.
_HIGH_FULL_SHARE = 0.3
_LOW_FULL_SHARE = 0.1
# Change of the local factor per second. The steps are small since an object
# that moves must first be loaded by its new server, unless it is used there.
_DECREASE_STEP = 0.05
_INCREASE_STEP = 0.02
_MIN_LOCAL_FACTOR = 0.1


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Slots of a pool in a region, and slots that its callers keep busy.

    :param slots: slots of all its servers in the region.
    :param demand: slots needed by requests received in this region that
        servers of any region may serve.
    :param pinned: slots needed by requests, received in whatever region, that
        only servers of this one may serve.
    """

    slots: float
    demand: float
    pinned: float = 0


@dataclass(frozen=True, slots=True)
class Locality:
    """Where a region's requests for one pool go.

    :param local_share: share of objects served in the region itself.
    :param spare: spare slots of each other region, which weight it for the
        remaining objects.
    """

    local_share: float = 1
    spare: Mapping[str, float] | None = None

    @property
    def is_sound(self) -> bool:
        """Tell whether the share and the weights are in their ranges."""
        weights = (self.spare or {}).values()
        is_finite = all(0 <= one < math.inf for one in weights)
        return 0 <= self.local_share <= 1 and is_finite

    def weigh(self, region: str) -> float:
        """Return the weight of a slot of another region.

        Without spare slots anywhere, all slots have the same weight.
        """
        if self.spare is None or not any(self.spare.values()):
            return 1
        return max(_MIN_SPARE_SLOTS, self.spare.get(region, 0))


def plan_locality(
    region: str,
    loads: Mapping[str, RegionLoad],
) -> Locality:
    """Plan which share of a region's objects is served locally.

    A region may use its own slots up to the target utilization, or up to the
    mean utilization of all regions if that is higher. The demand beyond it
    goes to other regions, in proportion to the slots that they have left up
    to the same utilization. Requests that only one region may serve are
    counted there first.

    Load pattern: a region with few servers, in which a customer of all
    regions has its home. Without its requests in the count, the region's own
    requests and those that cannot go elsewhere fill its servers together.

    :param loads: slots and demand of each region.

    >>> loads = {'a': RegionLoad(10, 13), 'b': RegionLoad(30, 7)}
    >>> plan_locality('a', loads).local_share
    0.38461538461538464
    >>> loads = {'a': RegionLoad(10, 5, pinned=4), 'b': RegionLoad(30, 7)}
    >>> plan_locality('a', loads).local_share
    0.2
    """
    slots = sum(load.slots for load in loads.values())
    needed = sum(load.demand + load.pinned for load in loads.values())
    utilization = needed / slots if slots else 0
    usable = max(_TARGET_UTILIZATION, utilization)
    room = {
        name: max(0, usable * load.slots - load.pinned)
        for name, load in loads.items()
    }
    spare = {
        name: max(0, room[name] - load.demand)
        for name, load in loads.items()
        if name != region
    }
    own = loads.get(region, RegionLoad(0, 0))
    if own.slots <= 0:
        return Locality(0, spare)
    if own.demand <= room[region]:
        return Locality(1, spare)
    return Locality(room[region] / own.demand, spare)


def adjust_local_factor(
    factor: float, full_share: float, full_share_elsewhere: float
) -> float:
    """Return the factor by which a region's local share is reduced.

    :func:`plan_locality` assumes that all servers are equally fast and evenly
    loaded. If many servers of a region are full nevertheless and those of
    other regions are not, the factor decreases step by step, so that more
    objects are served in other regions. It increases more slowly once the
    region has free slots again.

    :param factor: the factor until now, 1 for the whole local share.
    :param full_share: share of the region's servers without a free slot.
    :param full_share_elsewhere: the same for all other regions.

    >>> adjust_local_factor(1, 0.5, 0)
    0.95
    >>> adjust_local_factor(0.5, 0, 0)
    0.52
    >>> adjust_local_factor(0.5, 0.5, 0.5)
    0.5
    """
    if (
        full_share >= _HIGH_FULL_SHARE
        and full_share_elsewhere <= _LOW_FULL_SHARE
    ):
        return max(_MIN_LOCAL_FACTOR, factor - _DECREASE_STEP)
    if full_share <= _LOW_FULL_SHARE:
        return min(1, factor + _INCREASE_STEP)
    return factor


def rank_servers(
    key: str,
    servers: Iterable[TrackedServer],
    region: str,
    locality: Locality,
) -> Iterator[TrackedServer]:
    """Rank servers for an object by rendezvous hashing, preferred one first.

    All hosts of a region compute the same order without communication.
    A fixed hash of the object decides whether it is within the local share;
    objects beyond it prefer servers of other regions. The less preferred
    group is sorted only when the iteration reaches it.

    :param key: key of the object.
    :param region: region of this host.
    """
    local: list[TrackedServer] = []
    remote: list[TrackedServer] = []
    for server in servers:
        (local if server.region == region else remote).append(server)
    is_local = draw_uniform(key, _SPILL_SALT) < locality.local_share

    def score(server: TrackedServer) -> float:
        entry = server.entry
        weight = float(entry.slots)
        if server.region != region:
            weight *= locality.weigh(server.region)
        return score_rendezvous(key, entry.name, weight)

    for group in (local, remote) if is_local else (remote, local):
        yield from sorted(group, key=score, reverse=True)
