"""Where the load of each region is served."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from crocusshunt.routing import Priority

FlowKey = tuple[Priority, str, str]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Load of one pool by priority, source region and target region.

    :param flows: load in slots.
    :param demand: load that arises, in slots, by priority and region.
    """

    flows: Mapping[FlowKey, float] = field(default_factory=dict)
    demand: Mapping[tuple[Priority, str], float] = field(default_factory=dict)

    def measure_inflow(self, target: str) -> float:
        """Return the load from other regions into one, in slots."""
        return sum(
            slots
            for (_, source, other), slots in self.flows.items()
            if other == target and source != target
        )

    def measure_load(self, target: str) -> float:
        """Return all load planned for a region, in slots."""
        return sum(
            slots for key, slots in self.flows.items() if key[-1] == target
        )

    def measure_link(self, source: str, target: str) -> float:
        """Return the load between two regions, in slots."""
        return sum(
            slots
            for key, slots in self.flows.items()
            if key[1:] == (source, target)
        )

    def choose_region(
        self,
        priority: Priority,
        source: str,
        point: float,
    ) -> str | None:
        """Return the region for a request, None if it must be refused.

        Every gateway applies the same shares to its own requests, so they
        hold over all gateways together. Where nothing is planned yet the
        request stays in its region.

        :param point: the request's place, 0 to 1, such as a hash of its id.

        >>> flows = {(Priority.normal, 'addis', 'dire'): 1.0}
        >>> plan = LoadPlan(flows, {(Priority.normal, 'addis'): 2.0})
        >>> plan.choose_region(Priority.normal, 'addis', 0.3)
        'dire'
        >>> plan.choose_region(Priority.normal, 'addis', 0.7) is None
        True
        """
        demand = self.demand.get((priority, source), 0)
        if not demand:
            return source
        passed: float = 0
        for target, slots in self._list_targets(priority, source):
            passed += slots / demand
            if point < passed:
                return target
        return None

    def _list_targets(
        self,
        priority: Priority,
        source: str,
    ) -> Iterable[tuple[str, float]]:
        return sorted(
            (key[-1], slots)
            for key, slots in self.flows.items()
            if key[:2] == (priority, source)
        )
