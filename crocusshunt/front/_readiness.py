"""Readiness of this host to accept requests."""

from dataclasses import dataclass

from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._in_flight import InFlight
from crocusshunt.front._start_information import StartInformation
from crocusshunt.services import TaskGroup


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether a host knows what it needs, works, and is not stopping.

    :param tasks: background tasks that the host depends on.
    """

    cluster: ClusterState
    in_flight: InFlight
    information: StartInformation
    tasks: TaskGroup

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        if self.in_flight.is_stopping or self.cluster.index is None:
            return False
        return self.information.is_complete and not self.tasks.unsteady
