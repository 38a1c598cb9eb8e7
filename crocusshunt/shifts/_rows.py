"""Configuration rows of shifts of load between regions."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

from crocusshunt.routing import Name, register_table

Share = Annotated[float, Meta(gt=0, le=1)]
Moved = Annotated[float, Meta(ge=0, le=1)]
_DAY_S = 86_400
Seconds = Annotated[float, Meta(ge=1, le=_DAY_S)]
Steps = Annotated[int, Meta(ge=0)]


class ShiftState(str, Enum):
    """State of a shift; operators and controllers change it."""

    planned = 'planned'
    running = 'running'
    paused = 'paused'
    reversing = 'reversing'
    finished = 'finished'


@register_table('shift')
@dataclass(frozen=True, slots=True)
class Shift:
    """Shift that moves a share of a pool's load to another region in steps.

    Operators set all fields except ``step`` and ``moved``, which the
    controllers update with each step.

    :param pool: name of the pool.
    :param source: region whose load is moved.
    :param target: region that receives the load.
    :param share: share of the source region's load to move, 0 to 1.
    :param step_share: maximum share moved by one step, 0 to 1.
    :param pace_s: minimum time between two steps, in seconds.
    :param step: number of steps taken so far, in both directions.
    :param moved: share moved so far, 0 to 1.
    """

    name: Name
    pool: str
    source: str
    target: str
    share: Share = 1
    step_share: Share = 0.1
    pace_s: Seconds = 30
    state: ShiftState = ShiftState.planned
    step: Steps = 0
    moved: Moved = 0
