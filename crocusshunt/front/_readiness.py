"""Readiness of this host to accept requests."""

from collections.abc import Callable
from dataclasses import dataclass

from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._pipelining import InFlight


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether configuration and servers are known and no stop has begun."""

    cluster: ClusterState
    in_flight: InFlight
    has_servers: Callable[[], bool]

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        if self.in_flight.is_stopping or self.cluster.index is None:
            return False
        return self.has_servers()
