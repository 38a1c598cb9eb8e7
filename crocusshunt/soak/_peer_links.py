"""Ways between hosts, for the messages and copies that they exchange."""

import asyncio
from dataclasses import dataclass, field
from typing import cast

import msgspec

from crocusshunt.feeds import Row
from crocusshunt.soak._link_rates import LinkRate
from crocusshunt.soak._proxy import Proxy
from crocusshunt.standin import LOOPBACK

# What one Ethernet frame carries of a datagram; larger ones are lost.
_FRAME_BYTES = 1_472

_Address = tuple[str, int]


class _DatagramRelay(asyncio.DatagramProtocol):
    """Passes datagrams on from the port by which their receiver answers.

    :param target: where they are passed on to.
    """

    def __init__(self, target: _Address) -> None:
        self.target = target
        self.way_back: _DatagramRelay | None = None
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, by which the way back sends."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, content: bytes, _sender: _Address) -> None:
        """Pass a datagram on if a frame carries it."""
        way_back = self.way_back
        if len(content) > _FRAME_BYTES or way_back is None:
            return
        if way_back.transport is not None:
            way_back.transport.sendto(content, self.target)


@dataclass(slots=True)
class PeerLinks:
    """A proxy and a relay of datagrams from each host to each other one.

    The store names to each host the ports of its own ways. Datagrams take no
    time, whatever the rate of a link.
    """

    _ports: dict[str, int] = field(default_factory=dict)
    _proxies: dict[tuple[str, str], Proxy] = field(default_factory=dict)
    _relays: list[_DatagramRelay] = field(default_factory=list)

    async def add(self, host: str, port: int) -> None:
        """Open the ways between a new host and the others.

        :param port: of the host, for messages (UDP) and copies (TCP).
        """
        for peer, peer_port in self._ports.items():
            there = await self._open((host, peer), peer_port)
            back = await self._open((peer, host), port)
            there.way_back = back
            back.way_back = there
        self._ports[host] = port

    def translate(self, host: str, row: Row) -> Row:
        """Return the record of a host as another one is to read it."""
        proxy = self._proxies.get((host, row.key))
        if proxy is None:
            return row
        content = row.content.replace(
            _describe_port(self._ports[row.key]),
            _describe_port(_find_port(proxy)),
        )
        return msgspec.structs.replace(row, content=content)

    def change_rate(self, host: str, rate: LinkRate | None) -> None:
        """Give the ways of a host to the others a common rate."""
        for (name, _peer), proxy in self._proxies.items():
            if name == host:
                proxy.rate = rate

    def stop(self) -> None:
        """Close all ports and connections."""
        for proxy in self._proxies.values():
            proxy.stop()
        for relay in self._relays:
            if relay.transport is not None:
                relay.transport.close()

    async def _open(self, way: tuple[str, str], port: int) -> _DatagramRelay:
        proxy = Proxy(f'{LOOPBACK}:{port}')
        await proxy.start()
        self._proxies[way] = proxy
        loop = asyncio.get_running_loop()
        _transport, relay = await loop.create_datagram_endpoint(
            lambda: _DatagramRelay((LOOPBACK, port)),
            local_addr=(LOOPBACK, _find_port(proxy)),
        )
        self._relays.append(relay)
        return relay


def _find_port(proxy: Proxy) -> int:
    return int(proxy.address.rpartition(':')[2])


def _describe_port(port: int) -> bytes:
    return b'"internal_port":%d' % port
