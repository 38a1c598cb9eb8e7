"""Requests that come while a host is busy, as with a large configuration."""

import asyncio
import socket
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from crocusshunt.catalog import CatalogIndex, RequestLimits
from crocusshunt.front.tests._backend import NAMES
from crocusshunt.front.tests._deployment import KEY, Deployment, deploy
from crocusshunt.services import create_loop

_LIMITS = RequestLimits(header_timeout_s=1, idle_timeout_s=1)
_HEAD = (
    f'GET /a/x HTTP/1.1\r\nHost: a.example\r\n{NAMES.request_id}: r\r\n'
    f'Authorization: Token {KEY}\r\n\r\n'
).encode()
_SIZE_BYTES = 65_536
# The host is busy from before the time of the connection is over until after.
_STALL_S = 0.8
_SENT_AFTER_S = 0.1


def _limit(deployment: Deployment, limits: RequestLimits) -> None:
    """Put a configuration with other limits in force."""
    cluster = deployment.service._components.cluster  # noqa: SLF001
    assert cluster.index is not None
    catalog = cluster.index.catalog
    newer = replace(catalog, version=catalog.version + 1, limits=limits)
    cluster.index = CatalogIndex(newer)


async def _receive(client: socket.socket) -> bytes:
    """Return the first bytes that come, none if the connection ends."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(3):
            return await loop.sock_recv(client, _SIZE_BYTES)
    except ConnectionError:
        return b''


def _connect(deployment: Deployment) -> socket.socket:
    host, port = deployment.service.settings.front_address.split(':')
    client = socket.create_connection((host, int(port)))
    client.setblocking(False)
    return client


async def _stall(call: Callable[[], object]) -> None:
    """Block the event loop, while a client in another thread does something.

    It is blocked by what reads a connection: the loop of the product runs
    timers that are due after that, and reads other connections later.
    """
    loop = asyncio.get_running_loop()
    reading, writing = socket.socketpair()
    thread = threading.Timer(_SENT_AFTER_S, call)
    is_over = asyncio.Event()

    def block() -> None:
        loop.remove_reader(reading)
        thread.start()
        time.sleep(_STALL_S)
        thread.join()
        is_over.set()

    with reading, writing:
        loop.add_reader(reading, block)
        writing.send(b'x')
        await is_over.wait()


async def _play_idle(deployment: Deployment) -> bytes:
    """A kept connection is idle for nearly as long as it may be."""
    _limit(deployment, _LIMITS)
    with _connect(deployment) as client:
        client.send(_HEAD)
        assert (await _receive(client)).startswith(b'HTTP/1.1 200')
        await asyncio.sleep(0.6)
        await _stall(lambda: client.send(_HEAD))
        return await _receive(client)


async def _play_first(deployment: Deployment) -> bytes:
    """A connection waits with its first request."""
    _limit(deployment, _LIMITS)
    with _connect(deployment) as client:
        await asyncio.sleep(0.6)
        await _stall(lambda: client.send(_HEAD))
        return await _receive(client)


async def _play_head(deployment: Deployment) -> bytes:
    """The rest of a head comes in time."""
    _limit(deployment, _LIMITS)
    with _connect(deployment) as client:
        await asyncio.sleep(0.1)
        client.send(_HEAD[:20])
        await asyncio.sleep(0.6)
        await _stall(lambda: client.send(_HEAD[20:]))
        return await _receive(client)


async def _play_lower_limits(deployment: Deployment) -> bytes:
    """The configuration that makes the host busy allows less time."""
    former = replace(_LIMITS, idle_timeout_s=4, header_timeout_s=0.4)
    _limit(deployment, former)
    with _connect(deployment) as client:
        client.send(_HEAD)
        assert (await _receive(client)).startswith(b'HTTP/1.1 200')
        await asyncio.sleep(0.5)
        _limit(deployment, _LIMITS)
        await _stall(lambda: client.send(_HEAD))
        return await _receive(client)


@pytest.mark.parametrize('new_loop', [asyncio.new_event_loop, create_loop])
@pytest.mark.parametrize(
    'play', [_play_idle, _play_first, _play_head, _play_lower_limits]
)
def test_request_in_time_is_answered_after_a_stall(
    monkeypatch: pytest.MonkeyPatch,
    play: Callable[[Deployment], Awaitable[bytes]],
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """The time was over before the host read what had come in time."""
    monkeypatch.setattr('crocusshunt.front._service._ACCEPT_AT_STOP_S', 0)

    async def run() -> bytes:
        async with deploy('s1') as deployment:
            return await play(deployment)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(run()).startswith(b'HTTP/1.1 200')
