"""Requests to servers that are cold or were unreachable."""

from dataclasses import dataclass

from crocusshunt.core import rank_by_rendezvous
from crocusshunt.front._eligible_servers import EligibleServers
from crocusshunt.front._placements import PlacementRequest
from crocusshunt.placement import TrackedServer

# Hosts that send requests to a cold server, each half of its rate, so that the
# server still gets requests if one of them fails.
_HOSTS_PER_COLD_SERVER = 2
# Seconds between requests to a cold server before a configuration is known.
_DEFAULT_COLD_SPACING_S = 0.5
# Requests per second.
_MIN_COLD_RATE = 0.5


@dataclass(frozen=True, slots=True)
class ColdServers:
    """Gives cold servers a limited rate of requests, from few hosts each."""

    eligible: EligibleServers

    def may_try(
        self,
        server: TrackedServer,
        request: PlacementRequest,
        now: float,
    ) -> bool:
        """Tell whether a server is not warm and may get this request now.

        A server that was unreachable gets only idempotent requests until it
        has answered one.
        """
        if self.eligible.is_warm(server, now):
            return False
        health = self.eligible.cluster.health
        name = server.entry.name
        is_returning = health.is_returning(name)
        is_risky = is_returning and not request.admission.route.is_idempotent
        if is_risky or health.is_ejected(name, now):
            return False
        return self._may_send(server, now)

    def _may_send(self, server: TrackedServer, now: float) -> bool:
        fleet = self.eligible.cluster.fleet
        name = server.entry.name
        hosts = rank_by_rendezvous(name, fleet.names)[:_HOSTS_PER_COLD_SERVER]
        if fleet.own.name not in hosts:
            return False
        spacing_s = _DEFAULT_COLD_SPACING_S
        index = self.eligible.cluster.index
        if index is not None:
            rate = index.find_pool(server.entry.pool).cold_rate
            spacing_s = _HOSTS_PER_COLD_SERVER / max(_MIN_COLD_RATE, rate)
        return self.eligible.state.cold_limiter.take(name, spacing_s, now)
