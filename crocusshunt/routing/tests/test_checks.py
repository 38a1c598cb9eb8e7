"""Tests of the tables' checks and of the precedence of routes."""

from ipaddress import ip_address

import pytest

from crocusshunt.routing import (
    Access,
    AddressBlock,
    Customer,
    FailureDomain,
    Link,
    Pool,
    RequestAttributes,
    RetryClass,
    Route,
    RouteMatcher,
    Row,
    Server,
    Tables,
    find_faults,
)

_VALID_TABLES = Tables().put(
    FailureDomain('addis-a', 'addis'),
    Pool('verify'),
    Customer('court', rate=1, burst=1),
    Server('s1', 'verify', '10.0.0.1:80', 'addis', 'addis-a', slots=4),
    Route('verify', 'verify', path_prefix='/verify', customers=('court',)),
)


@pytest.mark.parametrize(
    ('row', 'place', 'problem'),
    [
        (Route('r', 'none'), 'route r', "pool 'none' does not exist"),
        (
            Route('r', 'verify', customers=('x',)),
            'route r',
            "customer 'x' does not exist",
        ),
        (
            Route('r', 'verify', client_prefixes=('10.0.0.1/8',)),
            'route r',
            "'10.0.0.1/8' is no network",
        ),
        (
            Route(
                'r',
                'verify',
                idempotent=False,
                retry=RetryClass.idempotent,
            ),
            'route r',
            'retries unknown outcomes but is not idempotent',
        ),
        (
            Route('r', 'verify', access=Access.open, customers=('court',)),
            'route r',
            'is open to all but names customers',
        ),
        (
            Route(
                'z',
                'verify',
                path_prefix='/verify/deep',
                order=200,
                customers=('court',),
            ),
            'route z',
            "never matches: route 'verify' comes first",
        ),
        (
            Server('s2', 'none', '10.0.0.2:80', 'addis', 'addis-a', slots=1),
            'server s2',
            "pool 'none' does not exist",
        ),
        (
            Server('s2', 'verify', '10.0.0.1:80', 'addis', 'addis-a', slots=1),
            'server s2',
            "address is also that of server 's1'",
        ),
        (
            Server('s2', 'verify', '10.0.0.2:80', 'dire', 'addis-a', slots=1),
            'server s2',
            'failure domain is in another region',
        ),
        (
            Link('l', 'addis', 'mars', mbits=1, delay_ms=1),
            'link l',
            "region 'mars' does not exist",
        ),
        (
            AddressBlock('b', '10.0.0.0/8', 'mars'),
            'block b',
            "region 'mars' does not exist",
        ),
    ],
)
def test_fault_is_found(row: Row, place: str, problem: str) -> None:
    faults = find_faults(_VALID_TABLES.put(row))
    assert [(fault.place, fault.problem) for fault in faults] == [
        (place, problem),
    ]


def test_valid_tables_have_no_fault() -> None:
    assert find_faults(_VALID_TABLES) == ()


def test_all_faults_are_returned_at_once() -> None:
    wrong = _VALID_TABLES.put(Route('a', 'none'), Link('l', 'x', 'y', 1, 1))
    assert len(find_faults(wrong)) == 3


def test_sibling_prefix_is_not_shadowed() -> None:
    sibling = Route('z', 'verify', path_prefix='/verifyall', order=200)
    assert find_faults(_VALID_TABLES.put(sibling)) == ()


@pytest.mark.parametrize(
    ('path', 'method', 'client', 'expected'),
    [
        ('/v/1', 'GET', '10.0.0.1', 'read'),
        ('/v', 'GET', '10.0.0.1', 'read'),
        ('/vx', 'GET', '10.0.0.1', 'rest'),
        ('/v/1', 'POST', '10.0.0.1', 'rest'),
        ('/v/1', 'GET', '192.168.0.1', 'rest'),
        ('/v/deep/1', 'GET', '10.0.0.1', 'deep'),
    ],
)
def test_route_precedence(
    path: str, method: str, client: str, expected: str
) -> None:
    matcher = RouteMatcher(
        (
            Route('rest', 'p', order=200),
            Route('deep', 'p', path_prefix='/v/deep'),
            Route(
                'read',
                'p',
                path_prefix='/v',
                methods=('GET',),
                client_prefixes=('10.0.0.0/8', '2001:db8::/32'),
            ),
        ),
    )
    request = RequestAttributes('h', path, method, '', ip_address(client))
    found = matcher.find(request)
    assert found is not None
    assert found.name == expected
