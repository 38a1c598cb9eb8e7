"""Drains of servers, pools, hosts, failure domains and regions."""

from crocusshunt.drains import _checks  # noqa: F401
from crocusshunt.drains._index import DrainIndex
from crocusshunt.drains._preview import (
    NoRoomError,
    PoolImpact,
    check_room,
    preview_drain,
)
from crocusshunt.drains._progress import (
    DrainBounds,
    DrainObservation,
    DrainProgress,
    DrainStage,
    find_bounds,
    has_entry_hosts,
    measure_progress,
)
from crocusshunt.drains._rows import Drain, DrainKind

__all__ = (
    'Drain',
    'DrainBounds',
    'DrainIndex',
    'DrainKind',
    'DrainObservation',
    'DrainProgress',
    'DrainStage',
    'NoRoomError',
    'PoolImpact',
    'check_room',
    'find_bounds',
    'has_entry_hosts',
    'measure_progress',
    'preview_drain',
)
