"""Measured state that the choice of a server depends on."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusshunt.crashes import OriginIsolation
from crocusshunt.front._limited_servers import LimitedServers
from crocusshunt.placement import (
    Locality,
    OfferedLoad,
    RecentObjects,
    ReturnSchedule,
    RoundTrips,
    ServerBackoffs,
    ServerLoad,
    ServiceTimes,
)
from crocusshunt.sharing import (
    MinIntervalLimiter,
    ProportionLimit,
    ProportionLimiter,
)

# In any window of two seconds, at most a bounded share of requests may be
# served in another region. Part of that bound is reserved for objects whose
# preferred region changes.
_OVERFLOW_SHARE = 0.06
_OVERFLOW_EXTRA = 0.5
_OVERFLOW_WINDOW_S = 2


def _create_overflow() -> ProportionLimiter:
    return ProportionLimiter(
        ProportionLimit(_OVERFLOW_SHARE, _OVERFLOW_EXTRA, _OVERFLOW_WINDOW_S),
    )


@dataclass(slots=True)
class PlacerState:
    """Measured state that placement depends on.

    :param loads: load of each server, by name.
    :param offered: load that this host's callers offer to each pool.
    :param round_trips: to the regions of the servers.
    :param localities: share of objects served in this region, by pool.
    :param recent_objects: objects that each server handled recently.
    :param cold_limiter: spaces this host's requests to each cold server.
    :param overflow: limits requests not sent to their preferred server.
    :param returns: when refused requests were told to come back.
    :param limited: parts of the limits that servers name.
    :param backoffs: times until which servers want no request.
    :param isolation: callers whose requests may go to few servers only.
    :param unheard_hosts: by pool, other hosts of this region of whose requests
        no server has told yet.
    :param full_servers: requests at servers that reported no free slot since
        the last heartbeat.
    """

    loads: dict[str, ServerLoad] = field(default_factory=dict)
    times: ServiceTimes = field(default_factory=ServiceTimes)
    offered: OfferedLoad = field(default_factory=OfferedLoad)
    round_trips: RoundTrips = field(default_factory=RoundTrips)
    localities: Mapping[str, Locality] = field(default_factory=dict)
    recent_objects: RecentObjects = field(default_factory=RecentObjects)
    cold_limiter: MinIntervalLimiter = field(default_factory=MinIntervalLimiter)
    overflow: ProportionLimiter = field(default_factory=_create_overflow)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    limited: LimitedServers = field(default_factory=LimitedServers)
    backoffs: ServerBackoffs = field(default_factory=ServerBackoffs)
    isolation: OriginIsolation = field(default_factory=OriginIsolation)
    unheard_hosts: Mapping[str, int] = field(default_factory=dict)
    full_servers: dict[str, int] = field(default_factory=dict)

    def reset_full_servers(self) -> None:
        """Clear the full servers after they were announced."""
        self.full_servers = {}

    def forget(self, server: str) -> None:
        """Drop the state of a server."""
        self.loads.pop(server, None)
        self.times.forget(server)
        self.recent_objects.forget(server)
        self.cold_limiter.forget(server)
        self.returns.forget(server)
        self.limited.forget(server)

    def find_load(self, server: str) -> ServerLoad:
        """Return the load of a server, created on first use."""
        return self.loads.setdefault(server, ServerLoad())
