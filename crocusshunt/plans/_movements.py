"""Consequences of shifts and drains."""

from collections.abc import Iterator

from crocusshunt.drains import Drain
from crocusshunt.plans._registry import Consequence, pair_rows, rule, warn
from crocusshunt.routing import Tables
from crocusshunt.shifts import Shift, ShiftState

_MOVING = frozenset((ShiftState.running, ShiftState.reversing))


@rule
def _find_started_shifts(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for shift in wanted.select(Shift):
        before = held.find(Shift, shift.name)
        was = ShiftState.planned if before is None else before.state
        if shift.state not in _MOVING or shift.state is was:
            continue
        back = ' back' if shift.state is ShiftState.reversing else ''
        yield warn(
            f'shift {shift.name}',
            f'{shift.share:.0%} of the load of pool {shift.pool} in '
            f'{shift.source} moves{back} in steps of {shift.step_share:.0%}, '
            f'{shift.pace_s:g} s apart; the other end is {shift.target}',
        )


@rule
def _find_removed_shifts(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for shift, after in pair_rows(held, wanted, Shift):
        if after is None and shift.moved:
            yield warn(
                f'shift {shift.name}',
                f'{shift.moved:.0%} of the load returns to {shift.source} '
                'at once',
                'a shift of traffic stays under its cap',
            )


@rule
def _find_drains(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for drain, after in pair_rows(held, wanted, Drain):
        if after is None:
            yield warn(_place(drain), 'gets new work again')
    for drain in wanted.select(Drain):
        if held.find(Drain, drain.name) is None:
            yield warn(_place(drain), 'gets no new work')


def _place(drain: Drain) -> str:
    return f'{drain.kind.value} {drain.target}'
