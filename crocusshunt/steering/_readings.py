"""Load measurements that decisions about moving load are based on."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import isfinite


class Obstacle(str, Enum):
    """Reason why no more load may be sent to a region."""

    missing = 'a measurement is missing'
    stale = 'a measurement is too old'
    implausible = 'a measurement contradicts itself'
    no_room = 'the target region has no room'
    link_full = 'the link has no room'
    errors = 'the target region returns errors'
    cold = 'the target region is still slow after the last step'


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool in one region; a slot serves one request at a time.

    :param slots: slots of the servers that accept work.
    :param busy: average number of slots in use.
    :param offered: offered load of the region's own callers, in slots,
        wherever their requests are served.
    :param mbits: traffic of these callers, in Mbit/s.
    :param errors: share of the answers that are failures, 0 to 1.
    :param slowdown: ratio of the current to the usual service time.
    :param urgent: part of the offered load on urgent routes, in slots.
    :param deferrable: part of the offered load on deferrable routes, in
        slots.
    :param age_s: time since the measurement was taken, in seconds.
    """

    slots: float
    busy: float
    offered: float
    mbits: float = 0
    errors: float = 0
    slowdown: float = 1
    age_s: float = 0
    urgent: float = 0
    deferrable: float = 0

    def is_plausible(self) -> bool:
        """Return whether the values are in range and do not contradict."""
        priority_loads = (self.urgent, self.deferrable)
        if sum(priority_loads) > self.offered:
            return False
        amounts = (
            self.slots,
            self.busy,
            self.offered,
            self.mbits,
            *priority_loads,
        )
        are_valid = all(
            isfinite(amount) and amount >= 0
            for amount in (*amounts, self.slowdown, self.age_s)
        )
        return are_valid and self.busy <= self.slots and 0 <= self.errors <= 1


@dataclass(frozen=True, slots=True)
class LinkLoad:
    """Traffic from one region to another, summed over all gateways.

    :param mbits: measured traffic, in Mbit/s.
    :param age_s: time since the measurement was taken, in seconds.
    """

    mbits: float
    age_s: float = 0

    def is_plausible(self) -> bool:
        """Return whether the values are finite and not negative."""
        amounts = (self.mbits, self.age_s)
        return all(isfinite(amount) and amount >= 0 for amount in amounts)


@dataclass(frozen=True, slots=True)
class Readings:
    """The latest measurements of pools and links.

    :param pools: load by pool name and region.
    :param links: traffic by source and target region.
    """

    pools: Mapping[tuple[str, str], PoolLoad] = field(default_factory=dict)
    links: Mapping[tuple[str, str], LinkLoad] = field(default_factory=dict)


def check_reading(
    reading: PoolLoad | LinkLoad | None,
    max_age_s: float,
) -> Obstacle | None:
    """Return why a measurement may not be used, None if it may.

    :param reading: the measurement, None if there is none.
    :param max_age_s: maximum age of a usable measurement, in seconds.

    >>> check_reading(None, 5).name
    'missing'
    >>> check_reading(LinkLoad(100, age_s=9), 5).name
    'stale'
    """
    if reading is None:
        return Obstacle.missing
    if not reading.is_plausible():
        return Obstacle.implausible
    if reading.age_s > max_age_s:
        return Obstacle.stale
    return None
