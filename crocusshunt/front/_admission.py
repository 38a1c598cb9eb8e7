"""Whether a request is served: its route, its customer, its limits."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.catalog import CatalogIndex, CustomerRule, RouteRule
from crocusshunt.front._inspection import Ask
from crocusshunt.front._outcomes import Refusal, Status, refuse_unavailable

_NO_CONFIGURATION_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that the configuration allows.

    :param customer: holder of the caller's key, None on public routes.
    :param homes: the only regions that may serve it, None for all.
    :param urgency: order among requests, smaller is more urgent.
    """

    route: RouteRule
    customer: CustomerRule | None
    homes: frozenset[str] | None
    urgency: tuple[int, int]


def admit(
    ask: Ask,
    index: CatalogIndex | None,
) -> Result[Admission, Refusal]:
    """Decide by the configuration in force."""
    if index is None:
        return Err(
            refuse_unavailable('no-configuration', _NO_CONFIGURATION_RETRY_S),
        )
    route = index.match(ask.host, ask.target)
    if route is None:
        return Err(Refusal(Status.no_route, 'no-route'))
    customer = None if ask.key is None else index.find_customer(ask.key)
    is_keyed = index.has_customers and not route.is_public
    if customer is None and is_keyed:
        return Err(Refusal(Status.unknown_key, 'unknown-key'))
    return Ok(
        Admission(
            route=route,
            customer=customer,
            homes=_join_homes(route, customer),
            urgency=_find_urgency(route, customer),
        ),
    )


def _join_homes(
    route: RouteRule,
    customer: CustomerRule | None,
) -> frozenset[str] | None:
    """Return the regions that both route and customer allow."""
    customer_homes = frozenset() if customer is None else customer.home_regions
    if route.home_regions and customer_homes:
        return route.home_regions & customer_homes
    return route.home_regions or customer_homes or None


def _find_urgency(
    route: RouteRule,
    customer: CustomerRule | None,
) -> tuple[int, int]:
    rank = None if customer is None else customer.priority
    return (route.priority if rank is None else rank, route.priority)
