"""Consequences for who may call: keys, operators and access to routes."""

from collections.abc import Iterator

from crocusshunt.keys import Key, KeyState
from crocusshunt.operators import Operator, Role
from crocusshunt.plans._registry import Consequence, pair_rows, rule, warn
from crocusshunt.routing import Access, RetryClass, Route, Tables


@rule
def _find_lost_keys(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for key, after in pair_rows(held, wanted, Key):
        place = f'key {key.name}'
        if key.state is KeyState.withdrawn:
            yield from _judge_withdrawn(place, after)
        elif after is None or after.state is KeyState.withdrawn:
            yield warn(
                place,
                f'callers of {key.customer} who use it are refused',
            )
        else:
            yield from _judge_granted(place, key, after)


def _judge_withdrawn(place: str, after: Key | None) -> Iterator[Consequence]:
    if after is not None and after.state is KeyState.granted:
        yield warn(
            place,
            'a withdrawn key works again',
            'a withdrawn key stops working',
        )


def _judge_granted(
    place: str,
    before: Key,
    after: Key,
) -> Iterator[Consequence]:
    if after.digest != before.digest:
        yield warn(place, 'its present secret stops working')
    if after.customer != before.customer:
        yield warn(
            place,
            f'its requests run for {after.customer}, not for {before.customer}',
        )


@rule
def _find_opened_routes(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for route, after in pair_rows(held, wanted, Route):
        if after is None or route.access is after.access:
            continue
        place = f'route {route.name}'
        if after.access is Access.open:
            yield warn(place, 'requests run without a key and without a rate')
        else:
            yield warn(place, 'requests without a key are refused')


@rule
def _find_repeats(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for route, after in pair_rows(held, wanted, Route):
        if after is None or route.idempotent or not after.idempotent:
            continue
        is_repeated = after.retry is RetryClass.idempotent
        yield warn(
            f'route {route.name}',
            'its requests count as idempotent and may run twice',
            'a non-idempotent request runs at most once' if is_repeated else '',
        )


@rule
def _find_lost_operators(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for operator, after in pair_rows(held, wanted, Operator):
        place = f'operator {operator.name}'
        if after is None or after.digest != operator.digest:
            yield warn(place, 'the key that this operator uses stops working')
        elif after.role is not operator.role:
            yield warn(
                place,
                f'role {operator.role.value} becomes {after.role.value}',
            )


@rule
def _find_new_operators(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    held_names = {operator.name for operator in held.select(Operator)}
    if not held_names and wanted.select(Operator):
        yield warn('operator', 'the bootstrap key stops working')
    for operator in wanted.select(Operator):
        is_new = operator.name not in held_names
        if is_new and operator.role is Role.administer:
            yield warn(f'operator {operator.name}', 'may administer')
