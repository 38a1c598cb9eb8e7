"""Start and graceful stop of aiomisc services."""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress

from aiomisc import Service, entrypoint

from crocusshunt.logs import log_event
from crocusshunt.services import run_until_signal

_SHUTDOWN_TIMEOUT_S = 60

Reload = Callable[[], None]


def run_services(*services: Service, reload: Reload | None = None) -> None:
    """Run services until SIGTERM or SIGINT, then stop them gracefully.

    A signal that comes before they have started abandons the start. Further
    signals don't cut the stop short.

    :param reload: called on each SIGHUP; without it, SIGHUP ends the process.
    """

    async def serve(stopping: asyncio.Event) -> None:
        started = asyncio.Event()
        serving = asyncio.create_task(_serve(services, started, stopping))
        await _wait_for_end(serving, stopping)
        if serving.done() or started.is_set():
            await serving
        else:
            await _abandon_start(serving)

    run_until_signal(serve, reload)


async def _serve(
    services: Sequence[Service],
    started: asyncio.Event,
    stopping: asyncio.Event,
) -> None:
    async with entrypoint(
        *services,
        log_config=False,
        catch_signals=(),
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    ):
        started.set()
        await stopping.wait()


async def _wait_for_end(
    serving: asyncio.Task[None], stopping: asyncio.Event
) -> None:
    """Wait until the services have ended, or are to end."""
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait((serving, stop), return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()


async def _abandon_start(serving: asyncio.Task[None]) -> None:
    log_event('start abandoned')
    serving.cancel()
    with suppress(asyncio.CancelledError):
        await serving
