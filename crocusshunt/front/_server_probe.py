"""Attempts to connect to backend servers without sending a request."""

from dataclasses import dataclass

from crocusshunt.core import Clock, rank_by_rendezvous
from crocusshunt.front._cluster import ClusterState
from crocusshunt.placement import TrackedServer
from crocusshunt.upstream import NotConnectedError

# Servers that are tried before all are taken for unreachable.
_MAX_SERVERS = 4


@dataclass(frozen=True, slots=True)
class ServerProbe:
    """Finds out whether servers accept connections, and keeps these."""

    cluster: ClusterState
    clock: Clock

    async def is_reachable(self, server: TrackedServer) -> bool:
        """Tell whether a server accepts a connection."""
        entry = server.entry
        connections = self.cluster.connections
        try:
            opened = await connections.open(entry.address)
        except NotConnectedError:
            return False
        connections.give_back(entry.name, entry.address, opened)
        return True

    async def is_other_reachable(self, server: TrackedServer) -> bool:
        """Tell whether any server but one accepts a connection."""
        now = self.clock.monotonic()
        servers = self.cluster.servers
        others = {
            one.entry.name: one
            for pool in servers.pools
            for one in servers.select(pool)
            if one.entry.name != server.entry.name
            and not self.cluster.health.is_ejected(one.entry.name, now)
        }
        # Drawn from all pools, since a whole pool may be down.
        drawn = rank_by_rendezvous(server.entry.name, others)
        for name in drawn[:_MAX_SERVERS]:
            if await self.is_reachable(others[name]):
                return True
        return False
