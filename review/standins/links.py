"""Proxies before the internal ports of hosts, so that links can be cut.

The store's stand-in names the proxies in the hosts' records, to all alike.
"""

import asyncio
import json

from review.standins.hosts import draw_ip

HOSTS_TABLE = 'hosts'
_FIRST_PROXY = 100


class Links:
    """The ways between hosts.

    :param cut: pairs of hosts, by name, that don't reach each other.
    """

    def __init__(self, case):
        self._case = case
        self.cut = set()
        self.channels = 0
        self._proxies = {}
        self._parts = []

    async def start(self):
        """Open a proxy for each host, before the hosts register."""
        loop = asyncio.get_running_loop()
        for number, host in enumerate(self._case.hosts):
            ip = draw_ip(_FIRST_PROXY + number)
            address = (ip, host.internal_port)
            transport, _protocol = await loop.create_datagram_endpoint(
                lambda host=host: _Datagrams(self, host), local_addr=address
            )
            server = await asyncio.start_server(
                lambda reader, writer, host=host: self._join(
                    host, reader, writer
                ),
                *address,
            )
            self._parts += [transport, server]
            self._proxies[host.name] = address
        self._case.store.translate = self._translate

    def stop(self):
        for part in self._parts:
            part.close()

    def cut_zones(self, first, second):
        """Cut the links between the hosts of two zones."""
        zones = {host.name: host.zone for host in self._case.hosts}
        self.cut = {
            (one, other)
            for one, zone in zones.items()
            for other, far in zones.items()
            if {zone, far} == {first, second}
        }

    def find_sender(self, ip):
        return next(
            (host.name for host in self._case.hosts if host.ip == ip), ''
        )

    def _translate(self, table, row):
        key, content, version, is_dropped = row
        if table != HOSTS_TABLE or is_dropped or key not in self._proxies:
            return row
        entry = json.loads(content)
        entry['ip'], entry['internal_port'] = self._proxies[key]
        return key, json.dumps(entry).encode(), version, is_dropped

    async def _join(self, host, reader, writer):
        """Carry a channel to a host; the cases expect none."""
        self.channels += 1
        far_reader, far_writer = await asyncio.open_connection(
            host.ip, host.internal_port
        )
        await asyncio.gather(
            _carry(reader, far_writer), _carry(far_reader, writer)
        )


async def _carry(reader, writer):
    try:
        while content := await reader.read(65536):
            writer.write(content)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, links, host):
        self._links = links
        self._host = host
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, content, peer):
        sender = self._links.find_sender(peer[0])
        if (sender, self._host.name) not in self._links.cut:
            target = (self._host.ip, self._host.internal_port)
            self._transport.sendto(content, target)

    def error_received(self, error):
        """Ignore refusals while a host is not up."""
