"""Changes that would move load past the cap of a step."""

from collections.abc import Iterator

from crocusshunt.core import Fault
from crocusshunt.routing import Tables, register_change_check
from crocusshunt.shifts._rows import Shift

_TINY_SHARE = 1e-6


@register_change_check
def find_jumps(before: Tables, after: Tables) -> tuple[Fault, ...]:
    """Return the faults of a change that moves load other than in steps.

    The checks of the tables see only what results; this one compares it
    with what is in force.

    :param before: tables in force.
    :param after: tables that would be accepted.

    >>> shift = Shift('s', 'verify', 'addis', 'dire', moved=0.3)
    >>> for fault in find_jumps(Tables().put(shift), Tables()):
    ...     print(fault)
    shift s: still moves 30% of the load (allowed: state = reversing)
    """
    return tuple(_find(before, after))


def _find(before: Tables, after: Tables) -> Iterator[Fault]:
    for shift in after.select(Shift):
        held = before.find(Shift, shift.name)
        start = held.moved if held else 0
        cap = min(shift.step_share, held.step_share if held else 1)
        if abs(shift.moved - start) > cap + _TINY_SHARE:
            place = f'shift {shift.name}'
            yield Fault(place, 'moves more than one step', f'{cap:.0%}')
    for held in before.select(Shift):
        kept = after.find(Shift, held.name)
        if held.moved and (
            kept is None or _find_path(kept) != _find_path(held)
        ):
            problem = f'still moves {held.moved:.0%} of the load'
            yield Fault(f'shift {held.name}', problem, 'state = reversing')


def _find_path(shift: Shift) -> tuple[str, str, str]:
    return shift.pool, shift.source, shift.target
