"""Admission of requests by route and customer key."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.catalog import CatalogIndex, CustomerRule, RouteRule
from crocusshunt.front._headers import RequestInfo
from crocusshunt.front._outcomes import Refusal, Status, refuse_unavailable

_NO_CONFIGURATION_RETRY_S = 0.5
# Nobody knows when the configuration changes; it may within about this time.
_NO_HOME_RETRY_S = 1


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that the configuration allows.

    :param customer: customer of the caller's key, None without a known key.
    :param allowed_regions: the only regions that may serve it, None for all;
        never empty.
    :param urgency: the customer's priority, or the route's where the customer
        has none, then the route's; a smaller value is more urgent.
    :param configuration: version by which it is allowed.
    """

    request_info: RequestInfo

    route: RouteRule
    customer: CustomerRule | None
    allowed_regions: frozenset[str] | None
    urgency: tuple[int, int]
    configuration: int

    @property
    def customer_name(self) -> str:
        """Return the name of the customer, empty without one."""
        return '' if self.customer is None else self.customer.name


def admit(
    request_info: RequestInfo,
    index: CatalogIndex | None,
) -> Result[Admission, Refusal]:
    """Match a request to its route and customer.

    Where the configuration has customers, a route that is not public needs
    the key of one of them. Where route and customer have homes, but none in
    common, no region may serve the request.

    :param index: the current configuration, None before the first one.
    """
    if index is None:
        return Err(
            refuse_unavailable('no-configuration', _NO_CONFIGURATION_RETRY_S),
        )
    route = index.match(request_info.host, request_info.target)
    if route is None:
        return Err(Refusal(Status.no_route, 'no-route'))
    customer = (
        None
        if request_info.key is None
        else index.find_customer(request_info.key)
    )
    needs_key = index.has_customers and not route.is_public
    if customer is None and needs_key:
        return Err(Refusal(Status.unknown_key, 'unknown-key'))
    allowed_regions = _intersect_regions(route, customer)
    if allowed_regions == frozenset():
        return Err(refuse_unavailable('no-common-home', _NO_HOME_RETRY_S))
    return Ok(
        Admission(
            request_info=request_info,
            route=route,
            customer=customer,
            allowed_regions=allowed_regions,
            urgency=_find_urgency(route, customer),
            configuration=index.catalog.version,
        ),
    )


def _intersect_regions(
    route: RouteRule,
    customer: CustomerRule | None,
) -> frozenset[str] | None:
    """Return the regions that both route and customer allow, None for all."""
    customer_regions = (
        frozenset() if customer is None else customer.home_regions
    )
    if route.home_regions and customer_regions:
        return route.home_regions & customer_regions
    return route.home_regions or customer_regions or None


def _find_urgency(
    route: RouteRule,
    customer: CustomerRule | None,
) -> tuple[int, int]:
    own_priority = None if customer is None else customer.priority
    return (
        route.priority if own_priority is None else own_priority,
        route.priority,
    )
