"""Remaining work of a shift, and the shares that shifts move now."""

from dataclasses import dataclass
from math import ceil

from crocusshunt.routing import Tables
from crocusshunt.shifts._rows import Shift, ShiftState
from crocusshunt.steering import Readings


@dataclass(frozen=True, slots=True)
class ShiftPreview:
    """Remaining work of a shift and its effect on the target.

    :param steps: number of remaining steps.
    :param min_duration_s: minimum time that they take, in seconds.
    :param added_slots: load that the target will receive, in slots, None if
        not measured.
    :param free_slots: free slots of the target now, None if not measured.
    :param added_mbits: traffic that the link will receive, in Mbit/s, None
        if not measured.
    """

    steps: int
    min_duration_s: float
    added_slots: float | None = None
    free_slots: float | None = None
    added_mbits: float | None = None


@dataclass(frozen=True, slots=True)
class RegionShare:
    """Share of a region's own load that another region serves.

    :param region: region that serves the load.
    :param share: share of the load, 0 to 1.
    """

    region: str
    share: float


def preview_shift(shift: Shift, readings: Readings) -> ShiftPreview:
    """Return the remaining work of a shift.

    :param shift: row of the shift.
    :param readings: the latest measurements, possibly none.

    >>> shift = Shift('s', 'verify', 'addis', 'dire', step_share=0.25)
    >>> preview_shift(shift, Readings()).steps
    4
    """
    remaining_share = shift.share - shift.moved
    steps = ceil(round(remaining_share / shift.step_share, 6))
    min_duration_s = steps * shift.pace_s
    source = readings.pools.get((shift.pool, shift.source))
    target = readings.pools.get((shift.pool, shift.target))
    if source is None or target is None:
        return ShiftPreview(steps, min_duration_s)
    return ShiftPreview(
        steps,
        min_duration_s,
        remaining_share * source.offered,
        target.slots - target.busy,
        remaining_share * source.mbits,
    )


def find_region_shares(
    tables: Tables,
    pool: str,
    region: str,
) -> tuple[RegionShare, ...]:
    """Return the shares of a region's load that shifts send elsewhere.

    Each gateway sends these shares of its own requests, so they hold for
    all gateways together.

    :param tables: the configuration in force.
    :param pool: pool of the request's route.
    :param region: region of the gateway.
    """
    return tuple(
        RegionShare(shift.target, shift.moved)
        for shift in tables.select(Shift)
        if shift.moved
        and shift.state is not ShiftState.planned
        and (shift.pool, shift.source) == (pool, region)
    )
