"""Rows that another writer left in the tables that a host follows."""

import json
from typing import Any

import pytest

from crocusshunt.core import ManualClock
from crocusshunt.feeds import Follower, FollowerSettings, Row
from crocusshunt.fleet import decode_host
from crocusshunt.front.tests._backend import Backend
from crocusshunt.front.tests._deployment import deploy
from crocusshunt.placement import parse_load
from crocusshunt.standin import SERVERS_TABLE, MemoryFeedStore
from crocusshunt.upstream import NotConnectedError

_ENTRY: dict[str, Any] = {
    'address': '127.0.0.1:9',
    'info': {'service': 'pool', 'version': 'v1', 'zone': 'a1', 'slots': 4},
    'status': {'state': 'ready', 'sequence': 1},
}
_BRACKETS = b'[' * 2000
_DEEP = b'{"entry":"x","":%b' % _BRACKETS
_ODD_CONTENTS = (
    _DEEP,
    b'{"entry":%b%b}' % (_BRACKETS, b']' * 2000),
    b'\xff\xfe',
    json.dumps({**_ENTRY, 'address': '127.0.0.1:99999'}).encode(),
    json.dumps({**_ENTRY, 'address': 'nul\0host:80'}).encode(),
    json.dumps({**_ENTRY, 'born': 10**40}).encode(),
    json.dumps(
        {**_ENTRY, 'info': {**_ENTRY['info'], 'slots': 10**400}}
    ).encode(),
)
_HOST = {
    'name': 'h2',
    'ip': '127.0.0.1',
    'internal_port': 7600,
    'front_address': '127.0.0.1:80',
    'failure_domain': 'a1',
    'region': 'a',
}


async def test_odd_entries_leave_the_following_of_servers_alive() -> None:
    """One unreadable entry ended the following of all servers for good."""
    async with deploy('s1') as deployment:
        for number, content in enumerate(_ODD_CONTENTS):
            deployment.store.put(SERVERS_TABLE, f'odd{number}', content)
            status, _text, _response = await deployment.send()
            assert status == 200
        await deployment.wait_for_sync()
        late = Backend('late')
        await late.start()
        deployment.announce(late)
        await deployment.wait_for_sync()
        servers = deployment.service._components.cluster.servers
        known = [one.entry.name for one in servers.select('pool')]
        answered = {(await deployment.send())[0] for _turn in range(8)}
        await late.stop()
        late.free_port()
    assert known == ['late', 's1']
    assert answered == {200}


async def test_row_that_fails_leaves_the_rows_after_it_applied() -> None:
    """An error of one row lost all rows that were read with it."""
    store = MemoryFeedStore()
    applied = []

    def apply(row: Row) -> None:
        if row.key == 'odd':
            raise ArithmeticError(row.key)
        applied.append(row.key)

    settings = FollowerSettings(SERVERS_TABLE, wait_s=0)
    follower = Follower(store, settings, ManualClock(), apply)
    for key in ('a', 'odd', 'z'):
        store.put(SERVERS_TABLE, key, b'')
    assert await follower.poll()
    assert applied == ['a', 'z']
    assert follower.rejected_rows == 1


@pytest.mark.parametrize(
    'changed',
    [
        {'internal_port': 70000},
        {'internal_port': 0},
        {'ip': 'not an address'},
        {'front_address': '127.0.0.1:70000'},
        {'name': 'another'},
        {'region': None},
    ],
)
def test_odd_record_of_a_host_names_no_host(changed: dict[str, Any]) -> None:
    """A port out of range ended the heartbeats of all hosts."""
    assert decode_host('h2', json.dumps(_HOST).encode()) is not None
    assert decode_host('h2', json.dumps({**_HOST, **changed}).encode()) is None


def test_deeply_nested_record_of_a_host_names_no_host() -> None:
    """The error of a deep nesting ended the following of hosts."""
    assert decode_host('h2', _DEEP) is None


async def test_address_that_cannot_be_used_is_not_connected() -> None:
    """A port out of range ended a request with an error of this program."""
    async with deploy('s1') as deployment:
        connections = deployment.service._components.cluster.connections
        for address in ('127.0.0.1:99999', 'nul\0host:80', '127.0.0.1:x'):
            with pytest.raises(NotConnectedError):
                await connections.open(address)


@pytest.mark.parametrize('count', ['9' * 30, '9' * 5000])
def test_load_beyond_every_range_is_ignored(count: str) -> None:
    """A load of 30 digits ended heartbeats, one of 5,000 the request."""
    assert parse_load(f'{count},0,4') is None
