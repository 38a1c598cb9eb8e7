"""Faults, injected from outside the processes of the hosts."""

import asyncio
import signal

from crocusshunt.soak._plan import PlannedFault
from crocusshunt.soak._processes import HostProcess
from crocusshunt.soak._proxy import LinkFault, Proxy
from crocusshunt.soak._registry import register_fault
from crocusshunt.soak._system import SoakSystem

# A restarted host is exempt from the time limits until it has caught up.
_STARTUP_S = 4
_RESTART_DELAY_S = 0.3
_STOP_TIMEOUT_S = 7
# Between the first signals to a stopping host and the next ones.
_SIGNAL_PAUSE_S = 0.5
_STOPPED_S = 0.067
_RUNNING_S = 0.033
_LINK_FAULTS = (
    LinkFault.delay,
    LinkFault.reset,
    LinkFault.silence,
    LinkFault.lose_answers,
)


def pick_host(system: SoakSystem, planned: PlannedFault) -> HostProcess:
    """Return the host that a fault hits."""
    return system.hosts[int(planned.place * len(system.hosts))]


@register_fault('kill-host')
async def _kill_host(system: SoakSystem, planned: PlannedFault) -> None:
    await _kill(system, pick_host(system, planned))


async def _kill(system: SoakSystem, host: HostProcess) -> None:
    if not host.is_running:
        return
    system.record_fault('kill-host', host.name, _RESTART_DELAY_S + _STARTUP_S)
    host.send_signal(signal.SIGCONT)
    host.send_signal(signal.SIGKILL)
    await host.wait(_STOP_TIMEOUT_S)
    await asyncio.sleep(_RESTART_DELAY_S)
    host.start()


@register_fault('restart-all')
async def _kill_all_hosts(system: SoakSystem, _planned: PlannedFault) -> None:
    """Kill all hosts within a moment, so that none remembers what it did."""
    await asyncio.gather(*(_kill(system, host) for host in system.hosts))


@register_fault('stop-host')
async def _stop_host(system: SoakSystem, planned: PlannedFault) -> None:
    host = pick_host(system, planned)
    if not host.is_running:
        return
    system.record_fault(
        'stop-host', host.name, _STOP_TIMEOUT_S, is_planned=True
    )
    await _ask_to_stop(host)
    if await host.wait(_STOP_TIMEOUT_S) is None:
        system.record_fault('overlong-stop', host.name, _STARTUP_S)
        host.send_signal(signal.SIGKILL)
        await host.wait(_STOP_TIMEOUT_S)
    if not host.is_running:
        system.record_fault('start-host', host.name, _STARTUP_S)
        host.start()


async def _ask_to_stop(host: HostProcess) -> None:
    """Ask a host to stop, twice, as platforms do that restart it meanwhile."""
    host.send_signal(signal.SIGTERM)
    await asyncio.sleep(_SIGNAL_PAUSE_S)
    host.send_signal(signal.SIGHUP)
    host.send_signal(signal.SIGTERM)


@register_fault('pause-host')
async def _pause_host(system: SoakSystem, planned: PlannedFault) -> None:
    host = pick_host(system, planned)
    system.record_fault('pause-host', host.name, planned.for_s)
    host.send_signal(signal.SIGSTOP)
    await asyncio.sleep(planned.for_s)
    host.send_signal(signal.SIGCONT)


@register_fault('slow-host')
async def _slow_host_down(system: SoakSystem, planned: PlannedFault) -> None:
    """Let a host run for a third of each tenth of a second only."""
    host = pick_host(system, planned)
    system.record_fault('slow-host', host.name, planned.for_s)
    loop = asyncio.get_running_loop()
    until = loop.time() + planned.for_s
    while loop.time() < until:
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_STOPPED_S)
        host.send_signal(signal.SIGCONT)
        await asyncio.sleep(_RUNNING_S)


@register_fault('reload-host')
async def _reload_host(system: SoakSystem, planned: PlannedFault) -> None:
    host = pick_host(system, planned)
    host.write_settings()
    host.send_signal(signal.SIGHUP)


@register_fault('harm-store-link')
async def _disturb_store_link(
    system: SoakSystem, planned: PlannedFault
) -> None:
    """Connections that lose bytes are silent for good, others work again."""
    host = pick_host(system, planned)
    link_fault = planned.pick(_LINK_FAULTS)
    system.record_fault(
        f'store-link-{link_fault.value}', host.name, planned.for_s
    )
    await _disturb(system.store_proxies[host.name], link_fault, planned.for_s)


@register_fault('harm-server-link')
async def _disturb_server_link(
    system: SoakSystem, planned: PlannedFault
) -> None:
    server = system.pick_server(planned.place)
    if server.proxy is None:
        return
    link_fault = planned.pick(_LINK_FAULTS)
    system.record_fault(f'server-link-{link_fault.value}', '', planned.for_s)
    await _disturb(server.proxy, link_fault, planned.for_s)
    server.proxy.reset_all()


async def _disturb(proxy: Proxy, link_fault: LinkFault, seconds: float) -> None:
    proxy.link_fault = link_fault
    if link_fault is LinkFault.reset:
        proxy.reset_all()
    await asyncio.sleep(seconds)
    proxy.link_fault = LinkFault.none


@register_fault('rush-customer')
async def _rush_customer(system: SoakSystem, planned: PlannedFault) -> None:
    """Let most calls come from the limited customer."""
    system.mix.rushes += 1
    await asyncio.sleep(planned.for_s)
    system.mix.rushes -= 1


@register_fault('withdraw-key')
async def _withdraw_key(system: SoakSystem, planned: PlannedFault) -> None:
    system.withdraw_key()


@register_fault('move-routes')
async def _move_routes(system: SoakSystem, planned: PlannedFault) -> None:
    await system.move_routes()


@register_fault('drain-server')
async def _drain_server(system: SoakSystem, planned: PlannedFault) -> None:
    server = system.pick_server(planned.place)
    await system.drain_server(server, planned.for_s)
