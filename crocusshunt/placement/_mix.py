"""Bounded changes of the regions that serve a region's objects."""

from collections.abc import Collection, Mapping
from dataclasses import replace

from crocusshunt.placement._locality import Locality

# Largest share of a region's objects whose region changes in one step of a
# second. It stays below the share of requests that may change region in two
# seconds.
_MAX_SHARE_STEP = 0.04

# Slots of a pool by region.
Slots = Mapping[str, float]


def compute_mix(
    locality: Locality, region: str, slots: Slots
) -> dict[str, float]:
    """Return the share of a region's objects that each region serves.

    :param region: the region whose callers ask for the objects.

    >>> slots = {'a': 10, 'b': 20, 'c': 10}
    >>> compute_mix(Locality(0.5, {'b': 1, 'c': 2}), 'a', slots)
    {'a': 0.5, 'b': 0.25, 'c': 0.25}
    """
    weights = {
        name: count * locality.weigh(name)
        for name, count in slots.items()
        if name != region and count > 0
    }
    total = sum(weights.values())
    local_share = locality.local_share if total else 1
    mix = {region: local_share}
    for name, weight in weights.items():
        mix[name] = (1 - local_share) * weight / total
    return mix


def move_locality(
    known: Locality | None,
    plan: Locality,
    region: str,
    slots: Slots,
    lost: Collection[str] = (),
) -> Locality:
    """Move the division of a region's objects towards a plan.

    The objects whose region changes are bounded, whether they come from or go
    to this region or move between two others.

    Load pattern: a failure domain of the region is emptied, or its servers
    leave. What they served does not fit on the others, so waiting for small
    steps would refuse requests for seconds while other regions have room; it
    is the same where another region loses servers. Changes of the traffic
    alone are followed in steps.

    :param known: the division until now, None for the first one.
    :param region: the region whose objects are divided.
    :param slots: slots of the pool in each region.
    :param lost: regions with clearly fewer slots than at the last plan.

    >>> slots = {'a': 10, 'b': 10, 'c': 10}
    >>> plan = Locality(0.5, {'b': 1, 'c': 1})
    >>> move_locality(Locality(1), plan, 'a', slots).local_share
    0.96
    >>> move_locality(Locality(1), plan, 'a', slots, ('a',)).local_share
    0.5
    >>> known = Locality(0, {'b': 1, 'c': 0})
    >>> moved = move_locality(known, Locality(0, {'c': 1}), 'a', slots)
    >>> round(compute_mix(moved, 'a', slots)['c'], 2)
    0.05
    """
    if known is None:
        return plan
    if region in lost and plan.local_share < known.local_share:
        return plan
    if any(name != region for name in lost):
        known = replace(known, spare=plan.spare)
    before = compute_mix(known, region, slots)
    after = compute_mix(plan, region, slots)
    changes = [abs(after[name] - before[name]) for name in after]
    moving = sum(changes) / 2
    if moving <= _MAX_SHARE_STEP:
        return plan
    factor = _MAX_SHARE_STEP / moving
    shares = {
        name: share + factor * (after[name] - share)
        for name, share in before.items()
    }
    return _create_locality(shares, region, slots)


def _create_locality(
    mix: Mapping[str, float], region: str, slots: Slots
) -> Locality:
    """Return the division that has a given mix.

    Its spare slots are the mean of the other regions' slots, weighted so that
    each region gets its share.
    """
    others = {name: share for name, share in mix.items() if name != region}
    total_slots = sum(slots[name] for name in others)
    spare = {
        name: share * total_slots / slots[name]
        for name, share in others.items()
    }
    return Locality(mix[region], spare)
