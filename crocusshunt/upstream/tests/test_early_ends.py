"""Connections that end between their opening and the request."""

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from crocusshunt.services import create_loop
from crocusshunt.upstream import (
    BufferLimit,
    EchoPolicy,
    NotConnectedError,
    UpstreamRequest,
    open_connection,
)

_ECHO = EchoPolicy(b'x-id', b'x-not-run', frozenset((421,)))
_REQUEST = UpstreamRequest(b'r1', b'GET', b'/', ((b'Host', b'a'),), None)
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


@pytest.mark.parametrize('new_loop', [asyncio.new_event_loop, create_loop])
@pytest.mark.parametrize('is_reset', [True, False])
def test_request_on_a_connection_that_has_ended_was_not_sent(
    new_loop: Callable[[], asyncio.AbstractEventLoop], *, is_reset: bool
) -> None:
    """It failed with an error of the event loop, which callers got as 500."""
    listener = socket.create_server(('127.0.0.1', 0))
    port = listener.getsockname()[1]

    async def run() -> None:
        connection = await open_connection(
            f'127.0.0.1:{port}', _ECHO, 1, BufferLimit()
        )
        accepted, _address = listener.accept()
        if is_reset:
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
        accepted.close()
        async with asyncio.timeout(5):
            while connection.is_reusable:
                await asyncio.sleep(0.01)
        await connection.exchange(_REQUEST)

    with (
        listener,
        asyncio.Runner(loop_factory=new_loop) as runner,
        pytest.raises(NotConnectedError),
    ):
        runner.run(run())
