"""Effect of a drain on pools, and whether their capacity suffices."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.drains._index import DrainIndex
from crocusshunt.drains._rows import Drain
from crocusshunt.routing import Pool, Server, Tables
from crocusshunt.steering import PoolLoad, Readings, check_reading

_MAX_AGE_S = 10
_MAX_UTILIZATION = 0.8


@dataclass(frozen=True, slots=True)
class PoolImpact:
    """Effect of a drain on one pool.

    :param pool: name of the pool.
    :param slots_before: slots of the servers that receive requests now.
    :param slots_after: slots that remain for all load of the pool.
    :param busy: slots in use in all regions, None if not measured.
    :param receivers: regions that serve the load during the drain, with
        their slots.
    """

    pool: str
    slots_before: int
    slots_after: int
    busy: float | None
    receivers: tuple[tuple[str, int], ...]

    @property
    def has_room(self) -> bool:
        """Return whether the remaining slots suffice for the load.

        They do if at most 80% of them will be in use. A pool without a
        usable measurement counts as full.
        """
        if self.busy is None:
            return False
        return self.busy <= self.slots_after * _MAX_UTILIZATION


@dataclass(unsafe_hash=True)
class NoRoomError(CrocusError):
    """A drain that would leave pools with too little capacity.

    :param pools: pools with too few remaining slots or without usable
        measurements.
    """

    code = 'drain-no-room'

    pools: tuple[str, ...]


def preview_drain(
    tables: Tables,
    drain: Drain,
    readings: Readings,
) -> tuple[PoolImpact, ...]:
    """Return the effect of a drain on each pool that loses slots.

    :param tables: the configuration in force.
    :param drain: the drain to add or replace.
    :param readings: the latest measurements, possibly none.
    """
    others = [row for row in tables.select(Drain) if row.name != drain.name]
    before = _count_slots(tables, DrainIndex(others))
    after = _count_slots(tables, DrainIndex((*others, drain)))
    impacts = []
    for pool in tables.select(Pool):
        current = before.get(pool.name, {})
        remaining = after.get(pool.name, {})
        if current != remaining:
            busy = _measure_busy(tables, pool.name, readings)
            impacts.append(_create_impact(pool.name, current, remaining, busy))
    return tuple(impacts)


def _create_impact(
    pool: str,
    current: dict[str, int],
    remaining: dict[str, int],
    busy: float | None,
) -> PoolImpact:
    receivers = tuple(sorted(remaining.items()))
    before, after = sum(current.values()), sum(remaining.values())
    return PoolImpact(pool, before, after, busy, receivers)


def check_room(
    tables: Tables,
    drain: Drain,
    readings: Readings,
) -> Result[tuple[PoolImpact, ...], NoRoomError]:
    """Return the preview of a drain, or an error if capacity is insufficient.

    A pool without a usable measurement counts as full. A drain with an
    override is not refused.
    """
    impacts = preview_drain(tables, drain, readings)
    insufficient = tuple(
        impact.pool for impact in impacts if not impact.has_room
    )
    if insufficient and not drain.override:
        return Err(NoRoomError(insufficient))
    return Ok(impacts)


def _count_slots(
    tables: Tables,
    index: DrainIndex,
) -> dict[str, dict[str, int]]:
    """Return the slots that receive new requests, by pool and region."""
    slots: dict[str, dict[str, int]] = {}
    for server in tables.select(Server):
        if server.weight and not index.is_server_draining(server):
            regions = slots.setdefault(server.pool, {})
            regions[server.region] = (
                regions.get(server.region, 0) + server.slots
            )
    return slots


def _measure_busy(
    tables: Tables,
    pool: str,
    readings: Readings,
) -> float | None:
    """Return the slots of a pool in use, including drained regions.

    The result is None if the measurement of any region is unusable.
    """
    regions = {row.region for row in tables.select(Server) if row.pool == pool}
    busy: float = 0
    for region in regions:
        load: PoolLoad | None = readings.pools.get((pool, region))
        if load is None or check_reading(load, _MAX_AGE_S) is not None:
            return None
        busy += load.busy
    return busy
