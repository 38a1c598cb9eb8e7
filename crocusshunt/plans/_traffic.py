"""Consequences for traffic: routes, customers, blocks and links."""

from collections.abc import Iterator

from crocusshunt.plans._registry import Consequence, pair_rows, rule, warn
from crocusshunt.routing import AddressBlock, Customer, Link, Route, Tables


@rule
def _find_moved_routes(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for route, after in pair_rows(held, wanted, Route):
        place = f'route {route.name}'
        if after is None:
            yield warn(
                place,
                f'requests under {route.path_prefix} fall to other routes '
                'or are refused',
            )
        elif after.pool != route.pool:
            yield warn(
                place,
                f'its traffic moves from pool {route.pool} to {after.pool}',
            )
        elif _match(after) != _match(route):
            yield warn(place, 'it matches other requests than before')


@rule
def _find_new_routes(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for route in wanted.select(Route):
        if held.find(Route, route.name) is None:
            yield Consequence(
                f'route {route.name}',
                f'requests under {route.path_prefix} go to pool {route.pool}',
            )


@rule
def _find_lower_limits(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for customer, after in pair_rows(held, wanted, Customer):
        place = f'customer {customer.name}'
        if after is None:
            yield warn(place, 'the customer and its limits are removed')
            continue
        if after.rate < customer.rate:
            yield warn(
                place,
                f'its rate falls from {customer.rate:g} to {after.rate:g} '
                'requests a second',
            )
        if after.burst < customer.burst:
            yield warn(
                place,
                f'its burst falls from {customer.burst} to {after.burst} '
                'requests',
            )


@rule
def _find_moved_blocks(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for block, after in pair_rows(held, wanted, AddressBlock):
        target = after.region if after else 'no region of their own'
        if target != block.region:
            yield warn(
                f'block {block.name}',
                f'callers of {block.prefix} move from {block.region} '
                f'to {target}',
            )


@rule
def _find_link_limits(held: Tables, wanted: Tables) -> Iterator[Consequence]:
    for link, after in pair_rows(held, wanted, Link):
        if after is None:
            yield warn(f'link {link.name}', 'its limit is removed')
        elif after.mbits != link.mbits:
            yield Consequence(
                f'link {link.name}',
                f'its limit goes from {link.mbits:g} to {after.mbits:g} Mbit/s',
            )


def _match(route: Route) -> Route:
    """Return the route with everything but its match left equal."""
    return Route(
        name=route.name,
        pool='',
        order=route.order,
        hosts=route.hosts,
        path_prefix=route.path_prefix,
        methods=route.methods,
        customers=route.customers,
        client_prefixes=route.client_prefixes,
    )
