"""Ways of hosts to backend servers, which can be cut one host at a time."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from crocusshunt.feeds import Row
from crocusshunt.soak._proxy import Proxy


@dataclass(slots=True)
class ServerLinks:
    """A proxy from each host to each server.

    The store names to each host the addresses of its own proxies. A proxy takes
    connections unless its host is cut off or its server is down.
    """

    _links: dict[tuple[str, str], Proxy] = field(default_factory=dict)
    _cut_hosts: set[str] = field(default_factory=set)
    _down_servers: set[str] = field(default_factory=set)

    async def add(self, host: str, server: str, address: str) -> None:
        """Open the way of a host to a new server."""
        link = Proxy(address)
        await link.start()
        self._links[host, server] = link
        if host in self._cut_hosts:
            link.shut()

    def translate(self, host: str, row: Row) -> Row:
        """Return the entry of a server as a host is to read it."""
        link = self._links.get((host, row.key))
        if link is None:
            return row
        content = row.content.replace(
            link.target.encode(), link.address.encode()
        )
        return msgspec.structs.replace(row, content=content)

    def cut(self, host: str, *, keeps_old: bool) -> None:
        """Cut a host off from all servers.

        :param keeps_old: whether open connections live on.
        """
        self._cut_hosts.add(host)
        for link in self._list_links(host):
            if keeps_old:
                link.close_port()
            else:
                link.shut()

    async def restore(self, host: str) -> None:
        """Let a host reach the servers again that are up."""
        self._cut_hosts.discard(host)
        await self._reopen()

    def close_server(self, server: str) -> None:
        """Reset and refuse all connections to a server."""
        self._down_servers.add(server)
        for (_host, name), link in self._links.items():
            if name == server:
                link.shut()

    async def reopen_server(self, server: str) -> None:
        """Take connections to a server again."""
        self._down_servers.discard(server)
        await self._reopen()

    def stop(self) -> None:
        """Close all ports and connections."""
        for link in self._links.values():
            link.stop()

    async def _reopen(self) -> None:
        for (host, server), link in tuple(self._links.items()):
            is_shut = host in self._cut_hosts or server in self._down_servers
            if not is_shut and not link.is_open:
                await link.reopen()

    def _list_links(self, host: str) -> Iterator[Proxy]:
        for (name, _server), link in self._links.items():
            if name == host:
                yield link
