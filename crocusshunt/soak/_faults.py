"""Faults that are injected from outside the hosts' processes."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from crocusshunt.soak._plan import PlannedFault
from crocusshunt.soak._processes import HostProcess
from crocusshunt.soak._proxy import Harm
from crocusshunt.soak._world import World

# A host that starts anew is not held to bounds until it has caught up.
_START_S = 4
_PAUSE_AFTER_KILL_S = 0.3
_GRACE_S = 7

Inject = Callable[[World, PlannedFault], Awaitable[None]]
_FAULTS: dict[str, Inject] = {}


def fault(name: str) -> Callable[[Inject], Inject]:
    """Register a fault."""

    def register(inject: Inject) -> Inject:
        _FAULTS[name] = inject
        return inject

    return register


def list_faults() -> tuple[str, ...]:
    """Return the names of all faults."""
    return tuple(sorted(_FAULTS))


async def inject_fault(world: World, planned: PlannedFault) -> None:
    """Inject a fault and undo it at its end."""
    await _FAULTS[planned.kind](world, planned)


def _pick_host(world: World, planned: PlannedFault) -> HostProcess:
    return world.hosts[int(planned.place * len(world.hosts))]


@fault('kill-host')
async def _kill_host(world: World, planned: PlannedFault) -> None:
    host = _pick_host(world, planned)
    if not host.is_running:
        return
    world.disturb('kill-host', host.name, _PAUSE_AFTER_KILL_S + _START_S)
    host.signal(signal.SIGCONT)
    host.signal(signal.SIGKILL)
    await host.wait(_GRACE_S)
    await asyncio.sleep(_PAUSE_AFTER_KILL_S)
    host.start()


@fault('stop-host')
async def _stop_host(world: World, planned: PlannedFault) -> None:
    host = _pick_host(world, planned)
    if not host.is_running:
        return
    world.disturb('stop-host', host.name, _GRACE_S, is_planned=True)
    host.signal(signal.SIGTERM)
    if await host.wait(_GRACE_S) is None:
        world.disturb('overlong-stop', host.name, _START_S)
        host.signal(signal.SIGKILL)
        await host.wait(_GRACE_S)
    if not host.is_running:
        world.disturb('start-host', host.name, _START_S)
        host.start()


@fault('pause-host')
async def _pause_host(world: World, planned: PlannedFault) -> None:
    host = _pick_host(world, planned)
    world.disturb('pause-host', host.name, planned.for_s)
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(planned.for_s)
    host.signal(signal.SIGCONT)


@fault('reload-host')
async def _reload_host(world: World, planned: PlannedFault) -> None:
    host = _pick_host(world, planned)
    host.write_settings()
    host.signal(signal.SIGHUP)


@fault('harm-store-link')
async def _harm_store_link(world: World, planned: PlannedFault) -> None:
    host = _pick_host(world, planned)
    harms = (Harm.delay, Harm.reset, Harm.silence, Harm.lose_answers)
    harm = harms[int(planned.for_s * 1000) % len(harms)]
    world.disturb(f'store-link-{harm.value}', host.name, planned.for_s)
    proxy = world.store_proxies[host.name]
    proxy.harm = harm
    if harm is Harm.reset:
        proxy.reset_all()
    await asyncio.sleep(planned.for_s)
    proxy.harm = Harm.none
    proxy.reset_all()


@fault('harm-server-link')
async def _harm_server_link(world: World, planned: PlannedFault) -> None:
    server = world.pick_server(planned.place)
    if server.proxy is None:
        return
    harms = (Harm.delay, Harm.reset, Harm.silence, Harm.lose_answers)
    harm = harms[int(planned.for_s * 1000) % len(harms)]
    world.disturb(f'server-link-{harm.value}', '', planned.for_s)
    server.proxy.harm = harm
    if harm is Harm.reset:
        server.proxy.reset_all()
    await asyncio.sleep(planned.for_s)
    server.proxy.harm = Harm.none
    server.proxy.reset_all()


@fault('store-down')
async def _store_down(world: World, planned: PlannedFault) -> None:
    world.disturb('store-down', '', planned.for_s)
    world.store.faults.is_down = True
    await asyncio.sleep(planned.for_s)
    world.store.faults.is_down = False


@fault('store-forgets')
async def _forget_history(world: World, planned: PlannedFault) -> None:
    world.store.forget_history()


@fault('withdraw-key')
async def _withdraw_key(world: World, planned: PlannedFault) -> None:
    world.withdraw_key()


@fault('move-routes')
async def _move_routes(world: World, planned: PlannedFault) -> None:
    await world.move_routes()


@fault('drain-server')
async def _drain_server(world: World, planned: PlannedFault) -> None:
    server = world.pick_server(planned.place)
    await world.drain_server(server, planned.for_s)
