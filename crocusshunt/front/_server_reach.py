"""Whether this host reaches any backend server."""

import asyncio
import logging
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._server_probe import ServerProbe
from crocusshunt.logs import log_event
from crocusshunt.services import TaskGroup

# Servers are checked after a failed attempt if none answers for so long.
_MAX_SILENCE_S = 0.4
_CHECK_INTERVAL_S = 0.5


@dataclass(slots=True)
class ServerReach:
    """Finds out when this host is cut off from all servers, and when not.

    After an attempt that failed while no server answers, some servers are
    tried. Until one of them accepts a connection, this host is cut off.

    :param is_cut_off: whether no server accepts a connection.
    """

    cluster: ClusterState
    tasks: TaskGroup
    clock: Clock
    is_cut_off: bool = False
    _silent_since: float | None = None
    _is_checking: bool = False

    @property
    def lost_pools(self) -> tuple[str, ...]:
        """Return the pools of which this host reaches no server."""
        pools = sorted(self.cluster.servers.pools)
        return tuple(pool for pool in pools if self._has_lost(pool))

    def misses_servers(self, pool: str) -> bool:
        """Tell whether the last attempt to reach some server failed."""
        return self.is_cut_off or any(self._list_unreachable(pool))

    def note_answer(self) -> None:
        """Record that a server answered an attempt."""
        self._silent_since = self.clock.monotonic()

    def note_failure(self) -> None:
        """Check servers after a failed attempt, unless one answers soon.

        At a host that has never had an answer, the silence begins now: the
        request tries other servers meanwhile.
        """
        if self._silent_since is None:
            self._silent_since = self.clock.monotonic()
        if not self._is_checking:
            self._is_checking = True
            self.tasks.keep('check servers', self._check)

    def _has_lost(self, pool: str) -> bool:
        unreachable = self._list_unreachable(pool)
        return self.is_cut_off or (bool(unreachable) and all(unreachable))

    def _list_unreachable(self, pool: str) -> list[bool]:
        """Return for each server whether the last attempt failed."""
        health = self.cluster.health
        return [
            health.is_unreachable(one.entry.name)
            for one in self.cluster.servers.select(pool)
        ]

    async def _check(self) -> None:
        if self.is_cut_off or await self._is_silent():
            await self._wait_for_servers()
        self._is_checking = False

    async def _is_silent(self) -> bool:
        """Tell whether no server answers within a short time."""
        known = self._silent_since or 0
        silent_s = self.clock.monotonic() - known
        await asyncio.sleep(max(0, _MAX_SILENCE_S - silent_s))
        return self._silent_since == known

    async def _wait_for_servers(self) -> None:
        """Try servers until one accepts a connection."""
        probe = ServerProbe(self.cluster)
        while not await probe.is_any_reachable():
            self._enter_cut()
            await asyncio.sleep(_CHECK_INTERVAL_S)
        self.note_answer()
        self._leave_cut()

    def _enter_cut(self) -> None:
        if not self.is_cut_off:
            log_event('no server reached', logging.WARNING)
        self.is_cut_off = True

    def _leave_cut(self) -> None:
        """Use all servers again: they were ejected for the cut alone."""
        if self.is_cut_off:
            log_event('servers reached again')
            self.cluster.health.forget_unreachable()
        self.is_cut_off = False
