"""Event loop without io_uring, and the life of services on it."""

import asyncio
import os
import signal

import uvloop
from aiomisc import Service, entrypoint

_IO_URING_SWITCH = 'UV_USE_IO_URING'
_SHUTDOWN_TIMEOUT_S = 60


def create_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that opens no io_uring.

    libuv reads the switch when the first loop of the process is made.
    """
    os.environ[_IO_URING_SWITCH] = '0'
    return uvloop.new_event_loop()


def run_services(*services: Service) -> None:
    """Run services until SIGTERM or SIGINT, then stop them gracefully.

    A second signal ends the process without waiting for the services.
    """
    with asyncio.Runner(loop_factory=create_loop) as runner:
        runner.run(_run(services))


async def _run(services: tuple[Service, ...]) -> None:
    stopping = asyncio.Event()
    _watch_signals(stopping)
    async with entrypoint(
        *services,
        log_config=False,
        catch_signals=(),
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    ):
        await stopping.wait()


def _watch_signals(stopping: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()

    def stop(number: signal.Signals) -> None:
        if stopping.is_set():
            signal.signal(number, signal.SIG_DFL)
            signal.raise_signal(number)
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
