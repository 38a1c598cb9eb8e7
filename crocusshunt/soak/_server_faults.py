"""Faults of backend servers that callers or the servers bring about."""

import asyncio
import time

from crocusshunt.soak._plan import PlannedFault
from crocusshunt.soak._registry import register_fault
from crocusshunt.soak._server_records import HostCut, PoolRejection, ServerLimit
from crocusshunt.soak._servers import BACKOFF_S, CRASH_MARK
from crocusshunt.soak._system import SoakSystem

# Requests a second that a limited server takes, and how much longer than the
# planned time it is limited.
_SERVER_LIMIT_RATE = 2
_LIMITED_S = 8
# Share of the requests that a pool rejects, and how much longer than the
# planned time it does.
_REJECTED_SHARE = 0.6
_REJECTED_S = 4
# How much longer than the planned time a server says that it drains.
_DRAINING_S = 5
# How much longer than the planned time a host is cut off.
_CUT_S = 8
# How much longer than the planned time a request that crashes servers is
# repeated.
_REPEATED_S = 10


@register_fault('limit-server')
async def _limit_server(system: SoakSystem, planned: PlannedFault) -> None:
    """Let a server name a limit for long enough that it must be kept."""
    server = system.pick_server(planned.place)
    if server.limit is not None:
        return
    server.limit = _SERVER_LIMIT_RATE
    start_at = time.monotonic()
    await asyncio.sleep(planned.for_s + _LIMITED_S)
    server.limit = None
    system.records.limits.append(
        ServerLimit(server.name, _SERVER_LIMIT_RATE, start_at, time.monotonic())
    )


@register_fault('back-off-server')
async def _reject_requests(system: SoakSystem, planned: PlannedFault) -> None:
    """Let one server or all of the pool reject requests and ask to back off."""
    chosen = system.pick_server(planned.place)
    is_whole_pool = planned.pick((False, False, True))
    start_at = time.monotonic()
    until = start_at + planned.for_s
    if is_whole_pool:
        system.records.rejections.append(
            PoolRejection(start_at, until + BACKOFF_S)
        )
    for server in system.servers:
        if server is chosen or (is_whole_pool and server.pool == chosen.pool):
            server.rejects_until = max(server.rejects_until, until)


@register_fault('reject-part')
async def _reject_part(system: SoakSystem, planned: PlannedFault) -> None:
    """Let all servers of the pool reject more than half of their requests."""
    pool = system.pool
    start_at = time.monotonic()
    servers = [one for one in system.servers if one.pool == pool]
    for server in servers:
        server.rejected_share = _REJECTED_SHARE
    await asyncio.sleep(planned.for_s + _REJECTED_S)
    for rejecting in servers:
        rejecting.rejected_share = 0
    system.records.rejections.append(PoolRejection(start_at, time.monotonic()))


@register_fault('say-draining')
async def _say_draining(system: SoakSystem, planned: PlannedFault) -> None:
    """Replace a server that says only in its responses that it drains."""
    server = system.pick_server(planned.place)
    await system.add_server(server.pool)
    server.is_draining = True
    await asyncio.sleep(planned.for_s + _DRAINING_S)
    server.leave()


@register_fault('crash-request')
async def _repeat_crashing_request(
    system: SoakSystem, planned: PlannedFault
) -> None:
    """Repeat a request that crashes the servers that run it."""
    path = f'{CRASH_MARK}{planned.place}'
    system.mix.crash_paths.append(path)
    await asyncio.sleep(planned.for_s + _REPEATED_S)
    system.mix.crash_paths.remove(path)


@register_fault('cut-host')
async def _cut_host(system: SoakSystem, planned: PlannedFault) -> None:
    """Cut a host off from all servers, for long enough that it must cope."""
    host = system.hosts[int(planned.place * len(system.hosts))].name
    start_at = time.monotonic()
    system.links.cut(host, keeps_old=planned.pick((True, False)))
    await asyncio.sleep(planned.for_s + _CUT_S)
    await system.links.restore(host)
    system.records.cuts.append(HostCut(host, start_at, time.monotonic()))
