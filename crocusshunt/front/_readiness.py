"""Readiness of this host to accept requests."""

from collections.abc import Iterator
from dataclasses import dataclass

from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._in_flight import InFlight
from crocusshunt.front._obstacles import Condition, Obstacle
from crocusshunt.front._ports import HostPorts
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
    ports: HostPorts

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return next(self._find_obstacles(), None) is None

    def list_obstacles(self) -> tuple[Obstacle, ...]:
        """Return all that keeps this host from being ready."""
        return tuple(self._find_obstacles())

    def _find_obstacles(self) -> Iterator[Obstacle]:
        if self.in_flight.is_stopping:
            yield Obstacle(Condition.stopping)
        for address, cause in self.ports.failures.items():
            yield Obstacle(Condition.port, address, cause)
        if self.cluster.index is None:
            yield Obstacle(
                Condition.configuration, cause=self._explain_configuration()
            )
        yield from self.information.find_missing()
        for task in self.tasks.unsteady:
            yield Obstacle(Condition.task, task, self.tasks.errors[task])

    def _explain_configuration(self) -> str:
        """Return why there is no configuration, empty if nothing is known."""
        follower = self.information.followers.configuration
        if not follower.image.is_known:
            return follower.availability.cause
        return self.cluster.configuration_problem or follower.rejection
