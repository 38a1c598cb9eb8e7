"""Look-ups and the client's address."""

import pytest

from crocusshunt.configuration import Configuration
from crocusshunt.core import parse_address
from crocusshunt.locator import LookupQuestion, Lookups, Origin, find_client
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


def _ask(lookups: Lookups, client: str, route: str = '') -> str:
    question = LookupQuestion(parse_address(client).unwrap(), route)
    return lookups.answer(question).unwrap().hosts[0].region


def test_blocks_follow_the_configuration(hosts: HostTable) -> None:
    """IPv4, mapped and IPv6 clients follow a block that changes."""
    lookups = Lookups(hosts, _LIFETIME_S)
    lookups.accept(Configuration(tables=_create_tables('a')))
    assert _ask(lookups, '10.1.2.3') == 'a'
    assert _ask(lookups, '::ffff:10.1.2.3') == 'a'
    assert _ask(lookups, '2001:db8::1') == 'b'
    lookups.accept(Configuration(tables=_create_tables('b')))
    assert _ask(lookups, '10.1.2.3') == 'b'


def test_failures_are_typed(hosts: HostTable) -> None:
    """A wrong name, and no usable host, are told apart."""
    lookups = Lookups(hosts, _LIFETIME_S)
    lookups.accept(Configuration(tables=_create_tables('a')))
    client = parse_address('10.1.2.3').unwrap()
    wrong = lookups.answer(LookupQuestion(client, 'none'))
    assert wrong.unwrap_err().code == 'name-unknown'
    hosts.replace(HostList(()))
    nobody = lookups.answer(LookupQuestion(client))
    assert nobody.unwrap_err().code == 'no-hosts'


@pytest.mark.parametrize(
    ('origin', 'client'),
    [
        (Origin('10.0.0.1', '10.2.2.2', '10.3.3.3'), '10.0.0.1'),
        (Origin(_FORWARDER, '10.1.1.1, 10.2.2.2'), '10.2.2.2'),
        (Origin(_FORWARDER, '10.2.2.2', '::ffff:10.3.3.3'), '10.3.3.3'),
        (Origin(_FORWARDER), _FORWARDER),
    ],
)
def test_only_forwarders_speak_for_others(origin: Origin, client: str) -> None:
    """What an untrusted peer claims is passed over."""
    found = find_client(origin, (_FORWARDER,)).unwrap()
    assert str(found) == client


@pytest.mark.parametrize('text', ['10.0.0', 'host', '1.2.3.4:80', '10.0.0.1%'])
def test_bad_addresses_are_typed(text: str) -> None:
    """An address that is none is refused, not guessed."""
    found = find_client(Origin(_FORWARDER, client=text), (_FORWARDER,))
    assert found.unwrap_err().code == 'invalid-address'
