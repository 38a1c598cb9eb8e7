"""Attempts to connect to backend servers without sending a request."""

import asyncio
import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from crocusshunt.core import rank_by_rendezvous
from crocusshunt.front._cluster import ClusterState
from crocusshunt.placement import TrackedServer
from crocusshunt.upstream import NotConnectedError

# Servers that are tried before all are taken for unreachable, and as many of
# those that have answered. They are drawn from all pools, since a whole pool
# may be down.
_MAX_SERVER_COUNT = 4


@dataclass(frozen=True, slots=True)
class ServerProbe:
    """Finds out whether servers accept connections, and keeps these."""

    cluster: ClusterState
    _draws: Iterator[int] = field(default_factory=itertools.count)

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

    async def is_any_reachable(self, besides: str = '') -> bool:
        """Tell whether some servers accept a connection, or there are none.

        :param besides: name of a server that is not tried.
        """
        servers = self.cluster.servers
        others = {
            one.entry.name: one
            for pool in servers.pools
            for one in servers.select(pool)
            if one.entry.name != besides
        }
        if not others:
            return not besides
        found = await asyncio.gather(
            *(self.is_reachable(others[name]) for name in self._draw(others))
        )
        return any(found)

    def _draw(self, names: Iterable[str]) -> set[str]:
        """Return servers to try: some of all, and some that have answered.

        Most entries may name addresses where no server is.
        """
        health = self.cluster.health
        drawn = rank_by_rendezvous(str(next(self._draws)), names)
        answered = [name for name in drawn if health.has_answered(name)]
        return {*drawn[:_MAX_SERVER_COUNT], *answered[:_MAX_SERVER_COUNT]}
