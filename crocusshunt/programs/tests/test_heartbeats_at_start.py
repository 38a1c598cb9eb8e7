"""Heartbeats that reach a host, as a process, while it waits for a port."""

import asyncio
import socket
from pathlib import Path

import msgspec

from crocusshunt.fleet import Heartbeat
from crocusshunt.programs.tests.test_host_starts import (
    _FRONT,
    _INTERNAL,
    _prepare,
    _take_port,
)
from crocusshunt.standin import LOOPBACK

_HEARTBEATS = 60
_INTERVAL_S = 0.1


async def test_heartbeats_before_the_last_port_is_open_cause_no_error(
    tmp_path: Path,
) -> None:
    """Each one asked the peer for its hosts before that was possible."""
    heartbeat = Heartbeat('h2', started_at=1, sequence=1, is_ready=True)
    content = msgspec.msgpack.encode(heartbeat)
    async with _prepare(tmp_path) as start:
        port = start.host.document.first_port
        with (
            _take_port(port + _FRONT, socket.SOCK_STREAM),
            socket.socket(type=socket.SOCK_DGRAM) as sender,
        ):
            sender.bind((LOOPBACK, 0))
            start.host.start()
            for _ in range(_HEARTBEATS):
                sender.sendto(content, (LOOPBACK, port + _INTERNAL))
                await asyncio.sleep(_INTERVAL_S)
        await start.wait_until_ready()
        failed = [
            one
            for one in start.read_log()
            if one['event'] == 'background task failed'
        ]
    assert not failed
