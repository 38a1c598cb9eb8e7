"""Measurements that decisions between regions rest on."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import isfinite


class Obstacle(str, Enum):
    """Why more load may not go to a region."""

    missing = 'a measurement is missing'
    stale = 'a measurement is too old'
    implausible = 'a measurement contradicts itself'
    no_room = 'the target region has no room'
    link_full = 'the link has no room'
    errors = 'the target region returns errors'
    cold = 'the target region is still slow after the last step'


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool in one region.

    :param slots: slots of the servers that take work.
    :param busy: slots in use, on average.
    :param offered: slots that the region's own callers need, wherever they
        are served.
    :param urgent: the part of it on urgent routes.
    :param deferrable: the part of it on deferrable routes.
    :param mbits: traffic of these callers, in Mbit/s.
    :param errors: share of the answers that are failures.
    :param slowdown: service time relative to the usual.
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
        """Tell whether the figures can be true together."""
        parts = (self.urgent, self.deferrable)
        if sum(parts) > self.offered:
            return False
        figures = (self.slots, self.busy, self.offered, self.mbits, *parts)
        are_amounts = all(
            isfinite(figure) and figure >= 0
            for figure in (*figures, self.slowdown, self.age_s)
        )
        return are_amounts and self.busy <= self.slots and 0 <= self.errors <= 1


@dataclass(frozen=True, slots=True)
class LinkLoad:
    """Traffic from one region to another, of all gateways together.

    :param mbits: measured traffic, in Mbit/s.
    :param age_s: time since the measurement was taken, in seconds.
    """

    mbits: float
    age_s: float = 0

    def is_plausible(self) -> bool:
        """Tell whether the figures can be true."""
        figures = (self.mbits, self.age_s)
        return all(isfinite(figure) and figure >= 0 for figure in figures)


@dataclass(frozen=True, slots=True)
class Readings:
    """The newest measurements.

    :param pools: load by pool and region.
    :param links: traffic by source and target region.
    """

    pools: Mapping[tuple[str, str], PoolLoad] = field(default_factory=dict)
    links: Mapping[tuple[str, str], LinkLoad] = field(default_factory=dict)


def check_reading(
    reading: PoolLoad | LinkLoad | None,
    greatest_age_s: float,
) -> Obstacle | None:
    """Return why a measurement may not be used, None if it may.

    :param greatest_age_s: greatest useful age, in seconds.

    >>> check_reading(None, 5).name
    'missing'
    >>> check_reading(LinkLoad(100, age_s=9), 5).name
    'stale'
    """
    if reading is None:
        return Obstacle.missing
    if not reading.is_plausible():
        return Obstacle.implausible
    if reading.age_s > greatest_age_s:
        return Obstacle.stale
    return None
