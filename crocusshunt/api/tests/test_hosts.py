"""Tests of the cache of the platform's list of hosts."""

import asyncio

from crocusshunt.api._hosts import HostListCache
from crocusshunt.core import ManualClock
from crocusshunt.messages import FetchHosts, HostList, Refusal
from crocusshunt.standin import MemoryPlatform
from crocusshunt.store import HostEntry

_HOST = HostEntry('h1', 'addis', 'addis-a', 'http://h1', 'tcp://10.0.0.1:1')


async def test_platform_is_called_once_a_second() -> None:
    clock, platform = ManualClock(), MemoryPlatform()
    platform.hosts = (_HOST,)
    host_list = HostListCache(platform, clock)
    requests = [host_list.answer(FetchHosts()) for _ in range(26)]
    answers = await asyncio.gather(*requests)
    assert all(answer == HostList((_HOST,)) for answer in answers)
    assert platform.calls == 1
    clock.advance(1)
    await host_list.answer(FetchHosts())
    assert platform.calls == 2


async def test_requests_are_refused_only_during_outage() -> None:
    clock, platform = ManualClock(), MemoryPlatform()
    host_list = HostListCache(platform, clock)
    platform.switches.is_down = True
    assert isinstance(await host_list.answer(FetchHosts()), Refusal)
    platform.switches.is_down = False
    clock.advance(1)
    assert await host_list.answer(FetchHosts()) == HostList(())
