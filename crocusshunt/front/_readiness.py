"""Readiness of this host to accept requests."""

from collections.abc import Callable
from dataclasses import dataclass

from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._in_flight import InFlight
from crocusshunt.services import TaskGroup


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether a host knows what it needs, works, and is not stopping.

    :param has_servers: tells whether the table of servers was read.
    :param knows_crashes: tells whether earlier crashes are known.
    :param tasks: background tasks that the host depends on.
    """

    cluster: ClusterState
    in_flight: InFlight
    has_servers: Callable[[], bool]
    knows_crashes: Callable[[], bool]
    tasks: TaskGroup

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        if self.in_flight.is_stopping or self.cluster.index is None:
            return False
        is_informed = self.has_servers() and self.knows_crashes()
        return is_informed and not self.tasks.unsteady
