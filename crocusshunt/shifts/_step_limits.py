"""Check that configuration changes respect the step size of shifts."""

from collections.abc import Iterator

from crocusshunt.core import Fault
from crocusshunt.routing import Tables, register_change_check
from crocusshunt.shifts._rows import Shift

_SHARE_TOLERANCE = 1e-6


@register_change_check
def find_step_violations(before: Tables, after: Tables) -> tuple[Fault, ...]:
    """Return the faults of a change that moves load other than in steps.

    A shift may change its moved share by at most its step share, and a shift
    that has moved load may neither be removed nor get another pool, source
    or target. The checks of the tables validate the new tables alone; this
    check compares them with the tables in force.

    :param before: the tables in force.
    :param after: the tables with the change applied.

    >>> shift = Shift('s', 'verify', 'addis', 'dire', moved=0.3)
    >>> for fault in find_step_violations(Tables().put(shift), Tables()):
    ...     print(fault)
    shift s: still moves 30% of the load (allowed: state = reversing)
    """
    return tuple(_generate_violations(before, after))


def _generate_violations(before: Tables, after: Tables) -> Iterator[Fault]:
    for shift in after.select(Shift):
        current = before.find(Shift, shift.name)
        moved_before = current.moved if current else 0
        max_change = min(shift.step_share, current.step_share if current else 1)
        if abs(shift.moved - moved_before) > max_change + _SHARE_TOLERANCE:
            place = f'shift {shift.name}'
            yield Fault(place, 'moves more than one step', f'{max_change:.0%}')
    for current in before.select(Shift):
        replacement = after.find(Shift, current.name)
        if current.moved and (
            replacement is None or _get_flow(replacement) != _get_flow(current)
        ):
            problem = f'still moves {current.moved:.0%} of the load'
            yield Fault(f'shift {current.name}', problem, 'state = reversing')


def _get_flow(shift: Shift) -> tuple[str, str, str]:
    return shift.pool, shift.source, shift.target
