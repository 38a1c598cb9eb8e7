"""Where the load of a drain goes, and whether there is room for it."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.core import CrocusError
from crocusshunt.drains._places import DrainIndex
from crocusshunt.drains._rows import Drain
from crocusshunt.routing import Pool, Server, Tables
from crocusshunt.steering import PoolLoad, Readings, check_reading

_GREATEST_AGE_S = 10
_GREATEST_USE = 0.8


@dataclass(frozen=True, slots=True)
class PoolMove:
    """What a drain does to one pool.

    :param slots_before: slots of the servers that take work now.
    :param slots_after: slots left for all load of the pool.
    :param busy: slots in use over all regions, None if not measured.
    :param receivers: regions that take the load, with their slots.
    """

    pool: str
    slots_before: int
    slots_after: int
    busy: float | None
    receivers: tuple[tuple[str, int], ...]

    @property
    def has_room(self) -> bool:
        """Tell whether the slots that are left carry the load."""
        if self.busy is None:
            return False
        return self.busy <= self.slots_after * _GREATEST_USE


@dataclass(unsafe_hash=True)
class NoRoomError(CrocusError):
    """A drain whose load has nowhere to go.

    :param pools: the pools without room, or without measurements.
    """

    code = 'drain-no-room'

    pools: tuple[str, ...]


def preview_drain(
    tables: Tables,
    drain: Drain,
    readings: Readings,
) -> tuple[PoolMove, ...]:
    """Return what a drain would do to each pool that it takes slots from.

    :param tables: the configuration in force.
    :param readings: the newest measurements, possibly none.
    """
    others = [row for row in tables.select(Drain) if row.name != drain.name]
    before = _list_slots(tables, DrainIndex(others))
    after = _list_slots(tables, DrainIndex((*others, drain)))
    moves = []
    for pool in tables.select(Pool):
        held = before.get(pool.name, {})
        left = after.get(pool.name, {})
        if held != left:
            busy = _measure_busy(tables, pool.name, readings)
            moves.append(_describe_move(pool.name, held, left, busy))
    return tuple(moves)


def _describe_move(
    pool: str,
    held: dict[str, int],
    left: dict[str, int],
    busy: float | None,
) -> PoolMove:
    receivers = tuple(sorted(left.items()))
    before, after = sum(held.values()), sum(left.values())
    return PoolMove(pool, before, after, busy, receivers)


def check_room(
    tables: Tables,
    drain: Drain,
    readings: Readings,
) -> Result[tuple[PoolMove, ...], NoRoomError]:
    """Return the preview of a drain, or refuse it for want of room.

    A pool that is not measured counts as full. The row's override skips the
    refusal.
    """
    moves = preview_drain(tables, drain, readings)
    full = tuple(move.pool for move in moves if not move.has_room)
    if full and not drain.override:
        return Err(NoRoomError(full))
    return Ok(moves)


def _list_slots(
    tables: Tables,
    places: DrainIndex,
) -> dict[str, dict[str, int]]:
    """Return the slots that take work, by pool and region."""
    slots: dict[str, dict[str, int]] = {}
    for server in tables.select(Server):
        if server.weight and not places.is_server_draining(server):
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
    """Return the slots in use, also those of regions being drained."""
    regions = {row.region for row in tables.select(Server) if row.pool == pool}
    busy: float = 0
    for region in regions:
        load: PoolLoad | None = readings.pools.get((pool, region))
        if load is None or check_reading(load, _GREATEST_AGE_S) is not None:
            return None
        busy += load.busy
    return busy
