"""Event loop without io_uring, and the end of a process by signals."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import uvloop

_IO_URING_SWITCH = 'UV_USE_IO_URING'

Serve = Callable[[asyncio.Event], Awaitable[None]]
Reload = Callable[[], None]


def create_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that opens no io_uring.

    libuv reads the switch when the first loop of the process is made.
    """
    os.environ[_IO_URING_SWITCH] = '0'
    return uvloop.new_event_loop()


def run_until_signal(serve: Serve, reload: Reload | None = None) -> None:
    """Run a function that serves until its event is set.

    SIGTERM or SIGINT sets the event; a second signal ends the process at
    once.

    :param serve: serves, and returns after the event was set.
    :param reload: called at each SIGHUP; without it SIGHUP ends the process.
    """
    with asyncio.Runner(loop_factory=create_loop) as runner:
        runner.run(_watch(serve, reload))


async def _watch(serve: Serve, reload: Reload | None) -> None:
    stopping = asyncio.Event()
    _watch_signals(stopping, reload)
    await serve(stopping)


def _watch_signals(stopping: asyncio.Event, reload: Reload | None) -> None:
    loop = asyncio.get_running_loop()
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)

    def stop(number: signal.Signals) -> None:
        if stopping.is_set():
            signal.signal(number, signal.SIG_DFL)
            signal.raise_signal(number)
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
