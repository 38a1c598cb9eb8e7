"""Consequences for traffic: routes, customers, blocks and links."""

from collections.abc import Iterator

from crocusshunt.plans._registry import (
    Consequence,
    create_danger,
    pair_rows,
    register_rule,
)
from crocusshunt.routing import AddressBlock, Customer, Link, Route, Tables


@register_rule
def _find_route_changes(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for route, after in pair_rows(current, proposed, Route):
        place = f'route {route.name}'
        if after is None:
            yield create_danger(
                place,
                f'requests under {route.path_prefix} go to other routes '
                'or are refused',
            )
        elif after.pool != route.pool:
            yield create_danger(
                place,
                f'its traffic moves from pool {route.pool} to {after.pool}',
            )
        elif _extract_match(after) != _extract_match(route):
            yield create_danger(place, 'it matches other requests than before')


@register_rule
def _find_new_routes(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for route in proposed.select(Route):
        if current.find(Route, route.name) is None:
            yield Consequence(
                f'route {route.name}',
                f'requests under {route.path_prefix} go to pool {route.pool}',
            )


@register_rule
def _find_lower_limits(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for customer, after in pair_rows(current, proposed, Customer):
        place = f'customer {customer.name}'
        if after is None:
            yield create_danger(
                place, 'the customer and its limits are removed'
            )
            continue
        if after.rate < customer.rate:
            yield create_danger(
                place,
                f'its rate falls from {customer.rate:g} to {after.rate:g} '
                'requests a second',
            )
        if after.burst < customer.burst:
            yield create_danger(
                place,
                f'its burst falls from {customer.burst} to {after.burst} '
                'requests',
            )


@register_rule
def _find_moved_blocks(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for block, after in pair_rows(current, proposed, AddressBlock):
        target = after.region if after else 'no region of their own'
        if target != block.region:
            yield create_danger(
                f'block {block.name}',
                f'callers of {block.prefix} move from {block.region} '
                f'to {target}',
            )


@register_rule
def _find_link_limits(
    current: Tables, proposed: Tables
) -> Iterator[Consequence]:
    for link, after in pair_rows(current, proposed, Link):
        if after is None:
            yield create_danger(f'link {link.name}', 'its limit is removed')
        elif after.mbits != link.mbits:
            yield Consequence(
                f'link {link.name}',
                f'its limit goes from {link.mbits:g} to {after.mbits:g} Mbit/s',
            )


def _extract_match(route: Route) -> Route:
    """Return a route with only the fields that select requests.

    All other fields have the same values for every route.
    """
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
