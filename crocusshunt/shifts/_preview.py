"""What a shift would do, and what shifts do now."""

from dataclasses import dataclass
from math import ceil

from crocusshunt.routing import Tables
from crocusshunt.shifts._rows import Shift, ShiftState
from crocusshunt.steering import Readings


@dataclass(frozen=True, slots=True)
class ShiftPreview:
    """What a shift will do.

    :param steps: number of steps still to do.
    :param seconds: least time that they take, in seconds.
    :param added_slots: load added to the target, None if not measured.
    :param free_slots: room of the target now, None if not measured.
    :param added_mbits: traffic added to the link, None if not measured.
    """

    steps: int
    seconds: float
    added_slots: float | None = None
    free_slots: float | None = None
    added_mbits: float | None = None


@dataclass(frozen=True, slots=True)
class RegionShare:
    """Share of a region's own load that another region serves."""

    region: str
    share: float


def preview_shift(shift: Shift, readings: Readings) -> ShiftPreview:
    """Return what a shift still has to do.

    :param readings: the newest measurements, possibly none.

    >>> shift = Shift('s', 'verify', 'addis', 'dire', step_share=0.25)
    >>> preview_shift(shift, Readings()).steps
    4
    """
    left = shift.share - shift.moved
    steps = ceil(round(left / shift.step_share, 6))
    seconds = steps * shift.pace_s
    source = readings.pools.get((shift.pool, shift.source))
    target = readings.pools.get((shift.pool, shift.target))
    if source is None or target is None:
        return ShiftPreview(steps, seconds)
    return ShiftPreview(
        steps,
        seconds,
        left * source.offered,
        target.slots - target.busy,
        left * source.mbits,
    )


def find_region_shares(
    tables: Tables,
    pool: str,
    region: str,
) -> tuple[RegionShare, ...]:
    """Return where shifts send the load that arises in a region.

    Each gateway sends this share of its own requests, so the share holds
    over all gateways together.

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
