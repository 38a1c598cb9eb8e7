"""Checks of routes, pools, servers, links and address blocks."""

from collections.abc import Iterable, Iterator

from crocusshunt.core import Fault, parse_network
from crocusshunt.routing._check_registry import (
    find_shared_addresses,
    register_check,
)
from crocusshunt.routing._matching import is_under, order_routes
from crocusshunt.routing._rows import (
    Access,
    AddressBlock,
    Customer,
    FailureDomain,
    Link,
    Pool,
    RetryClass,
    Route,
    Server,
)
from crocusshunt.routing._tables import Tables


def _describe_missing(
    place: str, kind: str, name: str, known: Iterable[str]
) -> Fault:
    allowed = ', '.join(sorted(known)) or 'none yet'
    return Fault(place, f"{kind} '{name}' does not exist", allowed)


@register_check
def _check_pools_of_routes(tables: Tables) -> Iterator[Fault]:
    pools = {pool.name for pool in tables.select(Pool)}
    for route in tables.select(Route):
        if route.pool not in pools:
            yield _describe_missing(
                f'route {route.name}', 'pool', route.pool, pools
            )


@register_check
def _check_customers_of_routes(tables: Tables) -> Iterator[Fault]:
    customers = {customer.name for customer in tables.select(Customer)}
    for route in tables.select(Route):
        for name in route.customers:
            if name not in customers:
                place = f'route {route.name}'
                yield _describe_missing(place, 'customer', name, customers)


@register_check
def _check_pools_of_servers(tables: Tables) -> Iterator[Fault]:
    pools = {pool.name for pool in tables.select(Pool)}
    for server in tables.select(Server):
        if server.pool not in pools:
            yield _describe_missing(
                f'server {server.name}', 'pool', server.pool, pools
            )


@register_check
def _check_domains_of_servers(tables: Tables) -> Iterator[Fault]:
    domains = {row.name: row.region for row in tables.select(FailureDomain)}
    for server in tables.select(Server):
        place = f'server {server.name}'
        if server.failure_domain not in domains:
            name = server.failure_domain
            yield _describe_missing(place, 'failure domain', name, domains)
        elif domains[server.failure_domain] != server.region:
            region = domains[server.failure_domain]
            yield Fault(place, 'failure domain is in another region', region)


@register_check
def _check_addresses(tables: Tables) -> Iterator[Fault]:
    servers = tables.select(Server)
    addresses = ((server.name, server.address) for server in servers)
    return find_shared_addresses('server', addresses)


@register_check
def _check_regions(tables: Tables) -> Iterator[Fault]:
    regions = {row.region for row in tables.select(FailureDomain)}
    for link in tables.select(Link):
        for name in (link.source, link.target):
            if name not in regions:
                yield _describe_missing(
                    f'link {link.name}', 'region', name, regions
                )
    for block in tables.select(AddressBlock):
        if block.region not in regions:
            place = f'block {block.name}'
            yield _describe_missing(place, 'region', block.region, regions)


@register_check
def _check_prefixes(tables: Tables) -> Iterator[Fault]:
    for route in tables.select(Route):
        for prefix in route.client_prefixes:
            if parse_network(prefix).is_err():
                yield _describe_invalid_network(f'route {route.name}', prefix)
    for block in tables.select(AddressBlock):
        if parse_network(block.prefix).is_err():
            yield _describe_invalid_network(f'block {block.name}', block.prefix)


def _describe_invalid_network(place: str, prefix: str) -> Fault:
    return Fault(place, f"'{prefix}' is no network", 'CIDR, no host bits set')


@register_check
def _check_retries(tables: Tables) -> Iterator[Fault]:
    for route in tables.select(Route):
        if route.retry is RetryClass.idempotent and not route.idempotent:
            yield Fault(
                f'route {route.name}',
                'retries unknown outcomes but is not idempotent',
                'retry = never or not_run',
            )


@register_check
def _check_open_routes(tables: Tables) -> Iterator[Fault]:
    for route in tables.select(Route):
        if route.access is Access.open and route.customers:
            yield Fault(
                f'route {route.name}',
                'is open to all but names customers',
                'access = keyed, or no customers',
            )


@register_check
def _check_shadowed_routes(tables: Tables) -> Iterator[Fault]:
    routes = order_routes(tables.select(Route))
    for position, route in enumerate(routes):
        for earlier in routes[:position]:
            if _matches_all_of(earlier, route):
                place = f'route {route.name}'
                problem = f"never matches: route '{earlier.name}' comes first"
                yield Fault(place, problem, 'a lower order, or other matches')
                break


def _matches_all_of(earlier: Route, later: Route) -> bool:
    if not is_under(later.path_prefix, earlier.path_prefix):
        return False
    return all(
        not earlier_values
        or (later_values and set(later_values) <= set(earlier_values))
        for earlier_values, later_values in (
            (earlier.hosts, later.hosts),
            (earlier.methods, later.methods),
            (earlier.customers, later.customers),
            (earlier.client_prefixes, later.client_prefixes),
        )
    )
