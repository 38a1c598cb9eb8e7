"""Event loop without io_uring, and shutdown on signals."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import uvloop

from crocusshunt.logs import log_event

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_IO_URING_VARIABLE = 'UV_USE_IO_URING'

Serve = Callable[[asyncio.Event], Awaitable[None]]
Reload = Callable[[], None]


def create_loop() -> asyncio.AbstractEventLoop:
    """Return a uvloop event loop that does not use io_uring.

    libuv reads the environment variable when the first loop of the process is
    created.
    """
    os.environ[_IO_URING_VARIABLE] = '0'
    return uvloop.new_event_loop()


def run_until_signal(serve: Serve, reload: Reload | None = None) -> None:
    """Run a service until SIGTERM or SIGINT.

    The first of these signals sets the event that ``serve`` gets. Further ones
    are logged and change nothing: whoever is being served then is still owed
    an answer, and the stop keeps to its own time limit. Once ``serve`` has
    returned, the process ignores all three signals until it ends.

    :param serve: runs the service and returns after the event is set.
    :param reload: called on each SIGHUP; without it, SIGHUP ends the process.
    """
    with asyncio.Runner(loop_factory=create_loop) as runner:
        runner.run(_serve_until_signal(serve, reload))


async def _serve_until_signal(serve: Serve, reload: Reload | None) -> None:
    stopping = asyncio.Event()
    _handle_signals(stopping, reload)
    try:
        await serve(stopping)
    finally:
        _ignore_signals()


def _handle_signals(stopping: asyncio.Event, reload: Reload | None) -> None:
    loop = asyncio.get_running_loop()
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)

    def stop(number: signal.Signals) -> None:
        if stopping.is_set():
            log_event('signal ignored, stopping already', signal=number.name)
            return
        log_event('process stopping', signal=number.name)
        stopping.set()

    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stop, number)


def _ignore_signals() -> None:
    """Let no signal end the process in the middle of its exit.

    Closing the event loop would restore the default actions.
    """
    loop = asyncio.get_running_loop()
    for number in (*_STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
