"""Connections that open while the event loop is blocked."""

import asyncio
import socket
import time
from collections.abc import Callable

import pytest

from crocusshunt.services import create_loop
from crocusshunt.upstream import BufferLimit, EchoPolicy, open_connection

_TIMEOUT_S = 0.05
_STALL_S = 0.1
_ECHO = EchoPolicy(b'x-id', b'x-not-run', frozenset((421,)))


@pytest.mark.parametrize('new_loop', [asyncio.new_event_loop, create_loop])
def test_connection_that_opened_during_a_stall_is_used(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """The server accepts at once; this host looks when the time is over."""
    listener = socket.create_server(('127.0.0.1', 0))
    port = listener.getsockname()[1]

    async def run() -> bool:
        asyncio.get_running_loop().call_soon(time.sleep, _STALL_S)
        connection = await open_connection(
            f'127.0.0.1:{port}', _ECHO, _TIMEOUT_S, BufferLimit()
        )
        is_reusable = connection.is_reusable
        connection.close()
        return is_reusable

    with listener, asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(run())
