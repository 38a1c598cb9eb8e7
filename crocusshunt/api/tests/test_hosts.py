"""Calls to the platform for the list of hosts."""

import asyncio

from crocusshunt.api._hosts import HostListing
from crocusshunt.core import ManualClock
from crocusshunt.messages import FetchHosts, HostList, Refusal
from crocusshunt.standin import MemoryPlatform
from crocusshunt.store import HostEntry

_HOST = HostEntry('h1', 'addis', 'addis-a', 'http://h1', 'tcp://10.0.0.1:1')


async def test_many_controllers_cost_one_call_a_second() -> None:
    clock, platform = ManualClock(), MemoryPlatform()
    platform.hosts = (_HOST,)
    listing = HostListing(platform, clock)
    questions = [listing.answer(FetchHosts()) for _ in range(26)]
    answers = await asyncio.gather(*questions)
    assert all(answer == HostList((_HOST,)) for answer in answers)
    assert platform.calls == 1
    clock.advance(1)
    await listing.answer(FetchHosts())
    assert platform.calls == 2


async def test_outage_is_refused_and_ends() -> None:
    clock, platform = ManualClock(), MemoryPlatform()
    listing = HostListing(platform, clock)
    platform.switches.is_down = True
    assert isinstance(await listing.answer(FetchHosts()), Refusal)
    platform.switches.is_down = False
    clock.advance(1)
    assert await listing.answer(FetchHosts()) == HostList(())
