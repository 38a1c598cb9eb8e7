"""Consequences of shifts and drains."""

from collections.abc import Iterator

from crocusshunt.drains import Drain
from crocusshunt.plans._registry import (
    Consequence,
    create_danger,
    pair_rows,
    register_rule,
)
from crocusshunt.routing import Tables
from crocusshunt.shifts import Shift, ShiftState

_MOVING = frozenset((ShiftState.running, ShiftState.reversing))


@register_rule
def _find_started_shifts(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for shift in proposed.select(Shift):
        before = current.find(Shift, shift.name)
        state_before = ShiftState.planned if before is None else before.state
        if shift.state not in _MOVING or shift.state is state_before:
            continue
        back = ' back' if shift.state is ShiftState.reversing else ''
        yield create_danger(
            f'shift {shift.name}',
            f'{shift.share:.0%} of the load of pool {shift.pool} in '
            f'{shift.source} moves{back} in steps of {shift.step_share:.0%}, '
            f'{shift.pace_s:g} s apart; the other end is {shift.target}',
        )


@register_rule
def _find_removed_shifts(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for shift, after in pair_rows(current, proposed, Shift):
        if after is None and shift.moved:
            yield create_danger(
                f'shift {shift.name}',
                f'{shift.moved:.0%} of the load returns to {shift.source} '
                'at once',
                'a shift of traffic stays under its cap',
            )


@register_rule
def _find_drains(current: Tables, proposed: Tables) -> Iterator[Consequence]:
    for drain, after in pair_rows(current, proposed, Drain):
        if after is None:
            yield create_danger(_name_target(drain), 'gets new work again')
    for drain in proposed.select(Drain):
        if current.find(Drain, drain.name) is None:
            yield create_danger(_name_target(drain), 'gets no new work')


def _name_target(drain: Drain) -> str:
    return f'{drain.kind.value} {drain.target}'
