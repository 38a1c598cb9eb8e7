"""Callers that leave while a connection to a server opens."""

import asyncio
import socket
from collections.abc import Callable

import pytest

from crocusshunt.services import create_loop
from crocusshunt.upstream import BufferLimit, EchoPolicy, open_connection

_ECHO = EchoPolicy(b'x-id', b'x-not-run', frozenset((421,)))
_TIMEOUT_S = 1
_STEPS = 12
_CLOSED_S = 0.5


async def _give_up_after(steps: int, port: int) -> None:
    """Open a connection, and cancel that after some turns of the loop."""
    opening = asyncio.create_task(
        open_connection(f'127.0.0.1:{port}', _ECHO, _TIMEOUT_S, BufferLimit())
    )
    for _ in range(steps):
        await asyncio.sleep(0)
    is_cancelled = opening.cancel()
    found = (await asyncio.gather(opening, return_exceptions=True))[0]
    if not isinstance(found, BaseException):
        assert not is_cancelled
        found.close()


@pytest.mark.parametrize('new_loop', [asyncio.new_event_loop, create_loop])
def test_connection_that_nobody_waits_for_is_closed(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """It stayed open, with its descriptor and its place at the server."""
    listener = socket.create_server(('127.0.0.1', 0))
    listener.settimeout(_CLOSED_S)
    port = listener.getsockname()[1]
    open_after: list[int] = []

    async def run() -> None:
        for steps in range(_STEPS):
            await _give_up_after(steps, port)
            await asyncio.sleep(0.05)
            accepted = await asyncio.to_thread(_accept, listener)
            if accepted is not None and not await asyncio.to_thread(
                _is_closed, accepted
            ):
                open_after.append(steps)

    with listener, asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())
    assert not open_after


def _accept(listener: socket.socket) -> socket.socket | None:
    try:
        return listener.accept()[0]
    except TimeoutError:
        return None


def _is_closed(accepted: socket.socket) -> bool:
    with accepted:
        accepted.settimeout(_CLOSED_S)
        try:
            return not accepted.recv(1)
        except ConnectionResetError:
            return True
        except TimeoutError:
            return False
