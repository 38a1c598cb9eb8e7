"""Validation of the shifts in the configuration tables."""

from collections.abc import Iterator
from itertools import combinations

from crocusshunt.core import Fault
from crocusshunt.routing import FailureDomain, Pool, Tables, register_check
from crocusshunt.shifts._rows import Shift, ShiftState


@register_check
def _check_references(tables: Tables) -> Iterator[Fault]:
    regions = {row.region for row in tables.select(FailureDomain)}
    for shift in tables.select(Shift):
        place = f'shift {shift.name}'
        if tables.find(Pool, shift.pool) is None:
            yield Fault(place, f"pool '{shift.pool}' does not exist")
        for name in (shift.source, shift.target):
            if name not in regions:
                allowed = ', '.join(sorted(regions))
                problem = f"region '{name}' does not exist"
                yield Fault(place, problem, allowed)
        if shift.source == shift.target:
            yield Fault(place, 'source and target are one region')


@register_check
def _check_progress(tables: Tables) -> Iterator[Fault]:
    for shift in tables.select(Shift):
        place = f'shift {shift.name}'
        if shift.moved > shift.share:
            yield Fault(place, 'moved more than its share', f'{shift.share}')
        if shift.state is ShiftState.planned and shift.moved:
            yield Fault(place, 'planned, but has moved load', 'reversing')


@register_check
def _check_conflicts(tables: Tables) -> Iterator[Fault]:
    active = [
        shift
        for shift in tables.select(Shift)
        if shift.state is not ShiftState.planned
    ]
    for first, second in combinations(active, 2):
        if first.pool == second.pool and _has_common_region(first, second):
            yield Fault(
                f'shift {second.name}',
                f"conflicts with shift '{first.name}'",
                'one shift at a time for a pool and region',
            )


def _has_common_region(first: Shift, second: Shift) -> bool:
    regions = {first.source, first.target}
    return not regions.isdisjoint((second.source, second.target))
