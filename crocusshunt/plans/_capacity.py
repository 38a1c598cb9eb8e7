"""Consequences for room: slots of pools, and backend servers' work."""

from collections import Counter
from collections.abc import Iterator

from crocusshunt.drains import Drain, DrainIndex
from crocusshunt.plans._registry import Consequence, pair_rows, rule, warn
from crocusshunt.routing import Route, Server, ServerState, Tables

_ROOM = 'every accepted request reaches a backend server with room for it'
_OVERLOAD = 'no region is overloaded by a steering decision'
_GRACE = 'every planned stop cuts no request'
_LEAST_SHARE = 0.5


@rule
def _find_lost_room(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    after = _count_pools(wanted)
    served = {route.pool for route in wanted.select(Route)}
    for pool, slots in sorted(_count_pools(held).items()):
        left = after[pool]
        place = f'pool {pool}'
        effect = f'its slots in service fall from {slots} to {left}'
        if not left and pool in served:
            yield warn(place, effect, _ROOM)
        elif left < slots * _LEAST_SHARE:
            yield warn(place, effect, _OVERLOAD)
        elif left < slots:
            yield Consequence(place, effect)


@rule
def _find_lost_regions(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    after = _count_regions(wanted)
    pools = _count_pools(wanted)
    for (pool, region), slots in sorted(_count_regions(held).items()):
        if slots and not after[pool, region] and pools[pool]:
            yield warn(
                f'pool {pool}',
                f'no slot is left in {region}: its callers go to other regions',
            )


@rule
def _find_server_changes(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for server, after in pair_rows(held, wanted, Server):
        if after is not None:
            yield from _judge_server(server, after)
        elif server.state is ServerState.active:
            yield warn(
                f'server {server.name}', 'leaves without a drain', _GRACE
            )


def _judge_server(before: Server, after: Server) -> Iterator[Consequence]:
    place = f'server {before.name}'
    if after.state is not before.state:
        is_leaving = after.state is ServerState.draining
        yield warn(
            place,
            'gets no new work' if is_leaving else 'gets new work again',
        )
    if after.address != before.address:
        yield warn(place, f'new work goes to {after.address}')


def _count_pools(tables: Tables) -> Counter[str]:
    slots: Counter[str] = Counter()
    for server, count in _list_slots(tables):
        slots[server.pool] += count
    return slots


def _count_regions(tables: Tables) -> Counter[tuple[str, str]]:
    slots: Counter[tuple[str, str]] = Counter()
    for server, count in _list_slots(tables):
        slots[server.pool, server.region] += count
    return slots


def _list_slots(tables: Tables) -> Iterator[tuple[Server, int]]:
    drained = DrainIndex(tables.select(Drain))
    for server in tables.select(Server):
        is_serving = server.weight and not drained.is_server_draining(server)
        yield server, server.slots if is_serving else 0
