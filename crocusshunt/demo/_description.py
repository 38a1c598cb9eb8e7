"""Description of a running fleet for other programs."""

import msgspec

from crocusshunt.demo._fleet import Fleet
from crocusshunt.routing import Access, Customer, Route

_GET = 'GET'


class SampleRequest(msgspec.Struct, frozen=True):
    """A complete request that a client can send unchanged.

    :param customer: owner of the key in the headers, empty on an open route.
    :param url: absolute URL at a gateway.
    :param idempotent: whether the route's requests may be repeated safely.
    """

    customer: str
    method: str
    url: str
    headers: dict[str, str]
    body: str
    idempotent: bool


class FleetDocument(msgspec.Struct, frozen=True):
    """Base URLs, keys and sample requests of a fleet.

    :param locator: URL of the first host's locator.
    :param gateways: URLs of all gateways.
    :param operators: URL of the operators' interface.
    :param operator_key: key for the operators' interface.
    :param standin: URL of the platform's stand-in.
    :param keys: callers' keys by customer name.
    :param sample_requests: one request per route.
    """

    locator: str
    gateways: tuple[str, ...]
    operators: str
    operator_key: str
    standin: str
    keys: dict[str, str]
    sample_requests: tuple[SampleRequest, ...]


def describe_fleet(fleet: Fleet) -> FleetDocument:
    """Return the description of a running fleet."""
    return FleetDocument(
        locator=fleet.hosts[0].locator.url,
        gateways=tuple(host.gateway.url for host in fleet.hosts),
        operators=fleet.apis[0].url,
        operator_key=fleet.operator_key,
        standin=fleet.platform.url,
        keys=dict(fleet.keys),
        sample_requests=tuple(
            _create_sample(fleet, route, position)
            for position, route in enumerate(fleet.tables.select(Route))
        ),
    )


def _create_sample(fleet: Fleet, route: Route, position: int) -> SampleRequest:
    customers = fleet.tables.select(Customer)
    customer = customers[position % len(customers)].name
    host = fleet.hosts[position % len(fleet.hosts)]
    method = route.methods[0] if route.methods else _GET
    is_open = route.access is Access.open
    headers = {} if is_open else {'X-Api-Key': fleet.keys[customer]}
    if not route.idempotent:
        headers['Idempotency-Key'] = f'sample-{route.name}'
    return SampleRequest(
        customer='' if is_open else customer,
        method=method,
        url=f'{host.gateway.url}{route.path_prefix}/sample',
        headers=headers,
        body='' if method == _GET else '{"sample":true}',
        idempotent=route.idempotent,
    )
