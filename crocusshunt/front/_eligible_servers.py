"""Backend servers that may get a request."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.front._placer_state import PlacerState
from crocusshunt.placement import TrackedServer

# So long after its ejection ended, a returning server's entry shows whether it
# is cold, and any host may send to it again.
_RETURN_TIMEOUT_S = 6
_ENTRY_CHANGE_S = 1


@dataclass(frozen=True, slots=True)
class EligibleServers:
    """Tells which servers may get a request, and which of them are warm."""

    cluster: ClusterState
    state: PlacerState
    clock: Clock

    def find(self, request: PlacementRequest) -> list[TrackedServer]:
        """Return the servers that a request may be sent to."""
        regions = request.admission.allowed_regions
        servers = {
            one.entry.name: one
            for one in self.cluster.servers.select(request.pool)
            if regions is None or one.region in regions
        }
        selected = self.state.isolation.select(
            tuple(servers),
            request.origin,
            self.clock.monotonic(),
            is_isolated=request.is_isolated,
        )
        return [servers[name] for name in selected if name not in request.tried]

    def estimate_return(
        self, servers: Iterable[TrackedServer], now: float
    ) -> float:
        """Return when the first of some servers is tried again, in seconds.

        Entries of servers change within about a second, in any case.
        """
        health = self.cluster.health
        ends = [health.find(one.entry.name).ejected_until for one in servers]
        until_tried_s = min(ends, default=now) - now
        return max(_ENTRY_CHANGE_S, until_tried_s)

    def is_warm(self, server: TrackedServer, now: float) -> bool:
        """Tell whether a server is neither cold nor ejected."""
        name = server.entry.name
        health = self.cluster.health
        if server.is_cold(now) or health.is_ejected(name, now):
            return False
        if not health.is_returning(name):
            return True
        return now > health.find(name).ejected_until + _RETURN_TIMEOUT_S
