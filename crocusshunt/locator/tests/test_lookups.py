"""Resolution of look-ups and of the client address."""

import pytest

from crocusshunt.configuration import Configuration
from crocusshunt.core import parse_address
from crocusshunt.locator import (
    LookupOrigin,
    LookupQuery,
    LookupResolver,
    find_client_address,
)
from crocusshunt.membership import HostTable
from crocusshunt.membership.tests.network import create_listing
from crocusshunt.messages import HostList, RequesterPool
from crocusshunt.routing import AddressBlock, Pool, Route, Server, Tables

_FORWARDER = '10.0.0.9'
_LIFETIME_S = 5


@pytest.fixture
def hosts() -> HostTable:
    table = HostTable((), RequesterPool())
    table.replace(HostList(create_listing('ab', 2)))
    return table


def _create_tables(region: str) -> Tables:
    return Tables().put(
        AddressBlock('one', '10.0.0.0/8', region),
        AddressBlock('six', '2001:db8::/32', 'b'),
        Pool('p'),
        Route('r', 'p'),
        Server('s', 'p', '10.9.0.1:80', 'b', 'b-0', 4),
    )


def _find_first_region(
    resolver: LookupResolver, client: str, route: str = ''
) -> str:
    query = LookupQuery(parse_address(client).unwrap(), route)
    return resolver.answer(query).unwrap().hosts[0].region


def test_regions_follow_changed_blocks(hosts: HostTable) -> None:
    """IPv4, IPv4-mapped and IPv6 clients get the region of their block."""
    resolver = LookupResolver(hosts, _LIFETIME_S)
    resolver.apply_configuration(Configuration(tables=_create_tables('a')))
    assert _find_first_region(resolver, '10.1.2.3') == 'a'
    assert _find_first_region(resolver, '::ffff:10.1.2.3') == 'a'
    assert _find_first_region(resolver, '2001:db8::1') == 'b'
    resolver.apply_configuration(Configuration(tables=_create_tables('b')))
    assert _find_first_region(resolver, '10.1.2.3') == 'b'


def test_failures_have_distinct_codes(hosts: HostTable) -> None:
    """An unknown route and a lack of hosts have different error codes."""
    resolver = LookupResolver(hosts, _LIFETIME_S)
    resolver.apply_configuration(Configuration(tables=_create_tables('a')))
    client = parse_address('10.1.2.3').unwrap()
    unknown_route = resolver.answer(LookupQuery(client, 'none'))
    assert unknown_route.unwrap_err().code == 'name-unknown'
    hosts.replace(HostList(()))
    no_hosts = resolver.answer(LookupQuery(client))
    assert no_hosts.unwrap_err().code == 'no-hosts'


@pytest.mark.parametrize(
    ('origin', 'client'),
    [
        (LookupOrigin('10.0.0.1', '10.2.2.2', '10.3.3.3'), '10.0.0.1'),
        (LookupOrigin(_FORWARDER, '10.1.1.1, 10.2.2.2'), '10.2.2.2'),
        (LookupOrigin(_FORWARDER, '10.2.2.2', '::ffff:10.3.3.3'), '10.3.3.3'),
        (LookupOrigin(_FORWARDER), _FORWARDER),
    ],
)
def test_only_trusted_forwarders_name_other_clients(
    origin: LookupOrigin, client: str
) -> None:
    """An untrusted peer's header and query parameter are ignored."""
    found = find_client_address(origin, (_FORWARDER,)).unwrap()
    assert str(found) == client


@pytest.mark.parametrize('text', ['10.0.0', 'host', '1.2.3.4:80', '10.0.0.1%'])
def test_invalid_addresses_are_refused(text: str) -> None:
    """A text that is not an IP address is refused."""
    found = find_client_address(
        LookupOrigin(_FORWARDER, client=text), (_FORWARDER,)
    )
    assert found.unwrap_err().code == 'invalid-address'
