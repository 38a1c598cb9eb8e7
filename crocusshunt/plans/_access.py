"""Consequences for keys, operators, and access to and retry of routes."""

from collections.abc import Iterator

from crocusshunt.keys import Key, KeyState
from crocusshunt.operators import Operator, Role
from crocusshunt.plans._registry import (
    Consequence,
    create_danger,
    pair_rows,
    register_rule,
)
from crocusshunt.routing import Access, RetryClass, Route, Tables


@register_rule
def _find_key_changes(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for key, after in pair_rows(current, proposed, Key):
        place = f'key {key.name}'
        if key.state is KeyState.withdrawn:
            yield from _check_withdrawn_key(place, after)
        elif after is None or after.state is KeyState.withdrawn:
            yield create_danger(
                place,
                f'callers of {key.customer} who use it are refused',
            )
        else:
            yield from _check_granted_key(place, key, after)


def _check_withdrawn_key(
    place: str, after: Key | None
) -> Iterator[Consequence]:
    if after is not None and after.state is KeyState.granted:
        yield create_danger(
            place,
            'a withdrawn key works again',
            'a withdrawn key stops working',
        )


def _check_granted_key(
    place: str,
    before: Key,
    after: Key,
) -> Iterator[Consequence]:
    if after.digest != before.digest:
        yield create_danger(place, 'its present secret stops working')
    if after.customer != before.customer:
        yield create_danger(
            place,
            f'its requests run for {after.customer}, not for {before.customer}',
        )


@register_rule
def _find_access_changes(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for route, after in pair_rows(current, proposed, Route):
        if after is None or route.access is after.access:
            continue
        place = f'route {route.name}'
        if after.access is Access.open:
            yield create_danger(
                place, 'requests run without a key and without a rate'
            )
        else:
            yield create_danger(place, 'requests without a key are refused')


@register_rule
def _find_idempotent_routes(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for route, after in pair_rows(current, proposed, Route):
        if after is None or route.idempotent or not after.idempotent:
            continue
        is_retried = after.retry is RetryClass.idempotent
        yield create_danger(
            f'route {route.name}',
            'its requests count as idempotent and may run twice',
            'a non-idempotent request runs at most once' if is_retried else '',
        )


@register_rule
def _find_operator_changes(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for operator, after in pair_rows(current, proposed, Operator):
        place = f'operator {operator.name}'
        if after is None or after.digest != operator.digest:
            yield create_danger(
                place, 'the key that this operator uses stops working'
            )
        elif after.role is not operator.role:
            yield create_danger(
                place,
                f'role {operator.role.value} becomes {after.role.value}',
            )


@register_rule
def _find_new_operators(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    current_names = {operator.name for operator in current.select(Operator)}
    if not current_names and proposed.select(Operator):
        yield create_danger('operator', 'the bootstrap key stops working')
    for operator in proposed.select(Operator):
        is_new = operator.name not in current_names
        if is_new and operator.role is Role.administer:
            yield create_danger(f'operator {operator.name}', 'may administer')
