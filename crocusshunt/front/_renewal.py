"""Which configuration counts for a request that is under way.

A request may wait, be sent again or be passed on while the configuration
changes. It is sent only where both the configuration of its arrival and the
newest one allow it.
"""

from dataclasses import replace

from result import Err, Ok, Result

from crocusshunt.catalog import CatalogIndex, RouteRule
from crocusshunt.front._admission import Admission, admit
from crocusshunt.front._outcomes import (
    CAUSE_CHANGED,
    OTHER_HOST_RETRY_S,
    Refusal,
    Status,
    refuse_unavailable,
)
from crocusshunt.front._placements import PlacementRequest


def renew_admission(
    admission: Admission, index: CatalogIndex | None
) -> Result[Admission, Refusal]:
    """Return what both an admission and the newest configuration allow.

    A refusal says that the request was not run: what was allowed on arrival is
    no fault of its caller.

    :param index: the newest configuration.

    >>> from crocusshunt.catalog import Catalog, Target
    >>> from crocusshunt.front._headers import RequestInfo
    >>> info = RequestInfo('r', 'GET', 'a.example', '/x', None, None, '')
    >>> def index(version, *homes):
    ...     route = RouteRule(
    ...         'r',
    ...         'a.example',
    ...         '/',
    ...         (Target('p'),),
    ...         home_regions=frozenset(homes),
    ...     )
    ...     return CatalogIndex(Catalog(version, (route,)))
    >>> arrived = admit(info, index(1, 'kzn', 'gauteng')).ok_value
    >>> renewed = renew_admission(arrived, index(2, 'kzn', 'westcape')).ok_value
    >>> sorted(renewed.allowed_regions)
    ['kzn']
    >>> renew_admission(arrived, index(2, 'westcape')).err_value.cause
    'configuration-changed'
    >>> renew_admission(arrived, index(1)).ok_value is arrived
    True
    """
    if index is None or index.catalog.version == admission.configuration:
        return Ok(admission)
    newest = admit(admission.request_info, index)
    if isinstance(newest, Err):
        return Err(excuse(newest.err_value))
    found = newest.ok_value
    regions = _intersect(admission.allowed_regions, found.allowed_regions)
    is_same = admission.customer_name == found.customer_name
    if not is_same or regions == frozenset():
        return Err(_refuse())
    route = _restrict(found.route, admission.route)
    return Ok(replace(found, route=route, allowed_regions=regions))


def renew_request(
    request: PlacementRequest, index: CatalogIndex | None
) -> Result[PlacementRequest, Refusal]:
    """Return a request by what the newest configuration allows, too.

    :param index: the newest configuration.
    """
    renewed = renew_admission(request.admission, index)
    if isinstance(renewed, Err):
        return renewed
    admission = renewed.ok_value
    if admission is request.admission:
        return Ok(request)
    if all(one.pool != request.pool for one in admission.route.targets):
        return Err(_refuse())
    return Ok(replace(request, admission=admission))


def may_go(
    request: PlacementRequest, region: str, index: CatalogIndex | None
) -> bool:
    """Tell whether a request may be sent to a region now.

    :param index: the newest configuration.
    """
    renewed = renew_request(request, index)
    if isinstance(renewed, Err):
        return False
    regions = renewed.ok_value.admission.allowed_regions
    return regions is None or region in regions


def excuse(refusal: Refusal) -> Refusal:
    """Return the refusal of a request that an older configuration allows.

    Its caller asks again and is told by the newest one what it lacks.

    >>> excuse(Refusal(Status.no_route, 'no-route')).cause
    'configuration-changed'
    """
    if refusal.status in {Status.no_route, Status.unknown_key}:
        return _refuse()
    return refusal


def _refuse() -> Refusal:
    return refuse_unavailable(CAUSE_CHANGED, OTHER_HOST_RETRY_S)


def _restrict(newest: RouteRule, former: RouteRule) -> RouteRule:
    """Return the newest route with no more repeats than the former allows."""
    return replace(
        newest,
        is_idempotent=newest.is_idempotent and former.is_idempotent,
        max_attempts=min(newest.max_attempts, former.max_attempts),
    )


def _intersect(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that are in both sets, of which None has all.

    >>> _intersect(None, frozenset('a')) == frozenset('a')
    True
    >>> _intersect(frozenset('b'), frozenset('a'))
    frozenset()
    """
    if first is None or second is None:
        return second if first is None else first
    return first & second
