"""What the ports of a host share to bound what callers make it keep."""

import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

from crocusshunt.catalog import RequestLimits
from crocusshunt.front._settings import FrontSettings
from crocusshunt.ingress import (
    EndCause,
    HostLedger,
    IngressLimits,
    Roster,
    create_ingress_limits,
)
from crocusshunt.logs import log_event
from crocusshunt.upstream import ReadingBudget

if TYPE_CHECKING:
    from crocusshunt.front._connection_bounds import ConnectionBounds

# Well above the time for which hosts keep idle connections to each other.
_MIN_HOST_IDLE_S = 60
# An idle connection is ended by design, and so often that no line tells it.
_UNLOGGED_CAUSES = frozenset((EndCause.idle,))


class Port(Enum):
    """What a port of a host is for."""

    callers = 'callers'
    directory = 'directory'
    readiness = 'readiness'
    hosts = 'hosts'
    metrics = 'metrics'


@dataclass(slots=True)
class Ingress:
    """Limits of a host on its callers, and what counts against them.

    :param get_limits: returns those that the configuration names.
    :param budget: time of the event loop for requests in many pieces.
    :param early_count: requests under way that began before their turn.
    :param ended: connections that the host ended by itself.
    """

    limits: IngressLimits
    get_limits: Callable[[], RequestLimits]
    ledger: HostLedger
    rosters: dict[Port, 'Roster[ConnectionBounds]']
    early_count: int = 0
    budget: ReadingBudget = field(default_factory=ReadingBudget)
    ended: Counter[tuple[Port, EndCause]] = field(default_factory=Counter)

    def find_limits_getter(self, port: Port) -> Callable[[], RequestLimits]:
        """Return what returns the limits on the connections of a port.

        Other hosts reuse theirs for longer than callers may.
        """
        return self._get_host_limits if port is Port.hosts else self.get_limits

    def note_end(self, port: Port, cause: EndCause, caller: str | None) -> None:
        """Log and count the end of a connection.

        :param caller: address of the peer, None if it is not known any more.
        """
        self.ended[port, cause] += 1
        if cause not in _UNLOGGED_CAUSES:
            log_event(
                'connection ended',
                port=port.value,
                cause=cause.value,
                caller=caller,
            )

    def _get_host_limits(self) -> RequestLimits:
        limits = self.get_limits()
        idle_s = max(limits.idle_timeout_s, _MIN_HOST_IDLE_S)
        return replace(limits, idle_timeout_s=idle_s)


def create_ingress(
    settings: FrontSettings, get_limits: Callable[[], RequestLimits]
) -> Ingress:
    """Create what the ports of a host share.

    :param get_limits: returns the limits that the configuration names.
    """
    descriptors, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = settings.max_descriptors
    limits = create_ingress_limits(
        settings.memory_bytes, min(settings.max_descriptors, descriptors)
    )
    rosters: dict[Port, Roster[ConnectionBounds]] = {
        port: Roster(limits.reserved_connections, is_brief=True)
        for port in Port
    }
    rosters[Port.hosts] = Roster(limits.max_host_connections)
    rosters[Port.callers] = Roster(limits.max_connections)
    return Ingress(limits, get_limits, HostLedger(limits), rosters)
