"""Changes in quick succession, and links too narrow for tables read twice."""

import asyncio
import time

from crocusshunt.soak._faults import pick_host
from crocusshunt.soak._link_rates import LinkRate
from crocusshunt.soak._load import RouteCalls
from crocusshunt.soak._plan import PlannedFault
from crocusshunt.soak._registry import register_fault
from crocusshunt.soak._servers import SoakServer
from crocusshunt.soak._system import DISCOVERY_S, SoakSystem

_CONFIGURATION_GAPS_S = (0.3, 0.5, 0.7, 1)
_ROUTE_COUNTS = (300, 700, 1400)
_RELEASE_GAPS_S = (0.25, 0.35, 0.5)
# Servers of a pool whose servers are replaced, so that each stays for 3 s.
_MIN_POOL_COUNT = 12
# How much longer than the planned time a series goes on.
_SERIES_S = 3
# Bytes a second of links of 10 and 20 Mbit/s, and how much longer than the
# planned time a link is so narrow.
_NARROW_RATES = (1_250_000, 2_500_000)
_NARROW_S = 8


@register_fault('changes-in-series')
async def _change_in_series(system: SoakSystem, planned: PlannedFault) -> None:
    """Write configurations that grow; one may overlap with another change.

    The series itself doesn't overlap with another one.
    """
    if system.series_lock.locked():
        return
    async with system.series_lock:
        await _change(system, planned)


async def _change(system: SoakSystem, planned: PlannedFault) -> None:
    gap_s = planned.pick(_CONFIGURATION_GAPS_S)
    count = planned.pick(_ROUTE_COUNTS)
    versions = _count_steps(planned, gap_s)
    async with asyncio.TaskGroup() as tasks:
        for version in range(versions):
            _add_routes(system, count)
            if version == versions // 2:
                tasks.create_task(_change_beside(system, planned))
            await asyncio.sleep(gap_s)


def _add_routes(system: SoakSystem, count: int) -> None:
    """Add routes, one of which is called once it must be in force."""
    prefix = system.added.add(count)
    system.write_configuration()
    system.mix.route_calls.append(RouteCalls(prefix, time.monotonic()))


async def _change_beside(system: SoakSystem, planned: PlannedFault) -> None:
    variant = planned.pick(('nothing', 'key', 'nothing', 'nothing', 'routes'))
    if variant == 'key':
        system.withdraw_key()
    elif variant == 'routes':
        await system.move_routes()


@register_fault('releases-in-series')
async def _release_in_series(system: SoakSystem, planned: PlannedFault) -> None:
    """Replace servers one after the other, the oldest first.

    The pool is large enough for each new one to stay for some seconds.
    """
    if system.release_lock.locked():
        return
    async with system.release_lock:
        pool = system.pool
        while len(_list_ready(system, pool)) < _MIN_POOL_COUNT:
            await system.add_server(pool)
        await asyncio.sleep(DISCOVERY_S)
        await _release(system, planned, pool)


async def _release(
    system: SoakSystem, planned: PlannedFault, pool: str
) -> None:
    gap_s = planned.pick(_RELEASE_GAPS_S)
    async with asyncio.TaskGroup() as tasks:
        for _ in range(_count_steps(planned, gap_s)):
            oldest = _list_ready(system, pool)[0]
            tasks.create_task(system.drain_server(oldest, 0))
            await asyncio.sleep(gap_s)


def _list_ready(system: SoakSystem, pool: str) -> list[SoakServer]:
    """Return the servers of a pool that stay, oldest first."""
    return [
        server
        for server in system.servers
        if server.pool == pool and server.state == 'ready'
    ]


def _count_steps(planned: PlannedFault, gap_s: float) -> int:
    return int((planned.for_s + _SERIES_S) / gap_s)


@register_fault('narrow-link')
async def _narrow_link(system: SoakSystem, planned: PlannedFault) -> None:
    """Let a host's link carry few bytes a second, which it must cope with."""
    host = pick_host(system, planned).name
    proxy = system.store_proxies[host]
    if proxy.rate is not None:
        return
    proxy.rate = LinkRate(planned.pick(_NARROW_RATES))
    system.peer_links.change_rate(host, proxy.rate)
    await asyncio.sleep(planned.for_s + _NARROW_S)
    proxy.rate = None
    system.peer_links.change_rate(host, None)
