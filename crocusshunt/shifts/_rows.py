"""Rows of planned shifts of load."""

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
    """What an operator wants of a shift."""

    planned = 'planned'
    running = 'running'
    paused = 'paused'
    reversing = 'reversing'
    finished = 'finished'


@register_table('shift')
@dataclass(frozen=True, slots=True)
class Shift:
    """Moves a share of a pool's load from one region to another, in steps.

    Operators set all but the last two fields; controllers advance these.

    :param share: share of the source region's load to move, 0 to 1.
    :param step_share: greatest share moved by one step.
    :param pace_s: least time between two steps, in seconds.
    :param step: number of steps done so far, forwards and back.
    :param moved: share moved so far.
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
