"""Consequences for the capacity of pools and for backend servers."""

from collections import Counter
from collections.abc import Iterator

from crocusshunt.drains import Drain, DrainIndex
from crocusshunt.plans._registry import (
    Consequence,
    create_danger,
    pair_rows,
    register_rule,
)
from crocusshunt.routing import Route, Server, ServerState, Tables

# Promises to users; the texts are shown to operators.
_CAPACITY_PROMISE = (
    'every accepted request reaches a backend server with room for it'
)
_OVERLOAD_PROMISE = 'no region is overloaded by a steering decision'
_STOP_PROMISE = 'every planned stop cuts no request'
# Share of a pool's current slots; with fewer left, a change is dangerous.
_MIN_REMAINING_SHARE = 0.5


@register_rule
def _find_lost_capacity(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    after = _count_pool_slots(proposed)
    routed = {route.pool for route in proposed.select(Route)}
    for pool, slots in sorted(_count_pool_slots(current).items()):
        remaining = after[pool]
        place = f'pool {pool}'
        effect = f'its slots in service fall from {slots} to {remaining}'
        if not remaining and pool in routed:
            yield create_danger(place, effect, _CAPACITY_PROMISE)
        elif remaining < slots * _MIN_REMAINING_SHARE:
            yield create_danger(place, effect, _OVERLOAD_PROMISE)
        elif remaining < slots:
            yield Consequence(place, effect)


@register_rule
def _find_lost_regions(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    after = _count_region_slots(proposed)
    pools = _count_pool_slots(proposed)
    for (pool, region), slots in sorted(_count_region_slots(current).items()):
        if slots and not after[pool, region] and pools[pool]:
            yield create_danger(
                f'pool {pool}',
                f'no slot is left in {region}: its callers go to other regions',
            )


@register_rule
def _find_server_changes(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for server, after in pair_rows(current, proposed, Server):
        if after is not None:
            yield from _compare_server(server, after)
        elif server.state is ServerState.active:
            yield create_danger(
                f'server {server.name}',
                'is removed without a drain',
                _STOP_PROMISE,
            )


def _compare_server(before: Server, after: Server) -> Iterator[Consequence]:
    place = f'server {before.name}'
    if after.state is not before.state:
        is_draining = after.state is ServerState.draining
        yield create_danger(
            place,
            'gets no new work' if is_draining else 'gets new work again',
        )
    if after.address != before.address:
        yield create_danger(place, f'new work goes to {after.address}')


def _count_pool_slots(tables: Tables) -> Counter[str]:
    slots: Counter[str] = Counter()
    for server, count in _list_slots(tables):
        slots[server.pool] += count
    return slots


def _count_region_slots(tables: Tables) -> Counter[tuple[str, str]]:
    slots: Counter[tuple[str, str]] = Counter()
    for server, count in _list_slots(tables):
        slots[server.pool, server.region] += count
    return slots


def _list_slots(tables: Tables) -> Iterator[tuple[Server, int]]:
    drain_index = DrainIndex(tables.select(Drain))
    for server in tables.select(Server):
        is_serving = server.weight and not drain_index.is_server_draining(
            server
        )
        yield server, server.slots if is_serving else 0
