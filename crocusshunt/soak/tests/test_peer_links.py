"""Ways between hosts: what they carry, and by which ports."""

import asyncio
import socket

import msgspec
import pytest

from crocusshunt.feeds import Row
from crocusshunt.fleet import HostRecord
from crocusshunt.soak._peer_links import PeerLinks
from crocusshunt.standin import LOOPBACK

_ANSWER_S = 0.5


def _open_host() -> socket.socket:
    host = socket.socket(type=socket.SOCK_DGRAM)
    host.bind((LOOPBACK, 0))
    host.setblocking(False)  # noqa: FBT003
    return host


def _find_port(host: socket.socket) -> int:
    return int(host.getsockname()[1])


def _translate(links: PeerLinks, reader: str, name: str, port: int) -> int:
    """Return the port of a host as another one reads it."""
    record = HostRecord(name, LOOPBACK, port, '127.0.0.1:1', 'a1', 'a')
    row = Row(name, msgspec.json.encode(record), 1)
    content = links.translate(reader, row).content
    return msgspec.json.decode(content, type=HostRecord).internal_port


async def _receive(host: socket.socket) -> tuple[bytes, tuple[str, int]]:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(_ANSWER_S):
        return await loop.sock_recvfrom(host, 65_536)


async def test_datagrams_come_from_the_port_of_the_way_back() -> None:
    links = PeerLinks()
    with _open_host() as first, _open_host() as second:
        await links.add('h0', _find_port(first))
        await links.add('h1', _find_port(second))
        there = _translate(links, 'h0', 'h1', _find_port(second))
        first.sendto(b'x' * 1_472, (LOOPBACK, there))
        content, sender = await _receive(second)
        back = _translate(links, 'h1', 'h0', _find_port(first))
        links.stop()
    assert len(content) == 1_472
    assert sender[1] == back


async def test_datagrams_over_a_frame_are_lost() -> None:
    links = PeerLinks()
    with _open_host() as first, _open_host() as second:
        await links.add('h0', _find_port(first))
        await links.add('h1', _find_port(second))
        there = _translate(links, 'h0', 'h1', _find_port(second))
        first.sendto(b'x' * 1_473, (LOOPBACK, there))
        with pytest.raises(TimeoutError):
            await _receive(second)
        links.stop()


async def test_own_record_is_read_as_it_was_written() -> None:
    links = PeerLinks()
    await links.add('h0', 7000)
    await links.add('h1', 7001)
    assert _translate(links, 'h0', 'h0', 7000) == 7000
    links.stop()
