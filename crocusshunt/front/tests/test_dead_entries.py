"""Entries in proper form at whose addresses no server is."""

import asyncio
from collections import Counter

from crocusshunt.front.tests._backend import NAMES
from crocusshunt.front.tests._deployment import deploy
from crocusshunt.standin import SERVERS_TABLE, encode_server

_DEAD_COUNT = 60
_OBJECT_COUNT = 30
# The tasks of the host find out within this time whether it is cut off.
_CUT_S = 0.6


async def test_hosts_serve_beside_entries_of_servers_that_are_gone() -> None:
    """A request got 503 after four of them, though a server was idle."""
    statuses: Counter[int] = Counter()
    async with deploy('s1') as deployment:
        for number in range(_DEAD_COUNT):
            entry = encode_server('127.0.0.1:9', 'pool', 'a1')
            deployment.store.put(SERVERS_TABLE, f'dead{number}', entry)
        await deployment.wait_for_sync()
        for number in range(_OBJECT_COUNT):
            cookie = {'Cookie': f'{NAMES.affinity_cookie}={number}'}
            status, _text, _response = await deployment.send(**cookie)
            statuses[status] += 1
    assert statuses == {200: _OBJECT_COUNT}


async def test_host_that_reaches_one_server_of_many_is_not_cut_off() -> None:
    """It took itself for cut off when the four that it tried were gone."""
    async with deploy('s1') as deployment:
        assert (await deployment.send())[0] == 200
        for number in range(_DEAD_COUNT):
            entry = encode_server('127.0.0.1:9', 'pool', 'a1')
            deployment.store.put(SERVERS_TABLE, f'dead{number}', entry)
        await deployment.wait_for_sync()
        reach = deployment.service._components.reach
        for _ in range(4):
            reach.note_failure()
            await asyncio.sleep(_CUT_S)
            assert not reach.is_cut_off
