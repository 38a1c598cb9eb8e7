"""Plan that assigns the load of each region to regions that serve it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from crocusshunt.routing import Priority

FlowKey = tuple[Priority, str, str]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Assignment of one pool's load to regions.

    The source region of load is the region of its callers, the target region
    serves it. Demand without a flow is refused.

    :param flows: planned load, in slots, by priority, source and target
        region.
    :param demand: load of a region's own callers, in slots, by priority and
        region.
    """

    flows: Mapping[FlowKey, float] = field(default_factory=dict)
    demand: Mapping[tuple[Priority, str], float] = field(default_factory=dict)

    def compute_inflow(self, target: str) -> float:
        """Return the load that a region serves for others, in slots."""
        return sum(
            slots
            for (_, source, other), slots in self.flows.items()
            if other == target and source != target
        )

    def compute_region_load(self, target: str) -> float:
        """Return all load that a region is planned to serve, in slots."""
        return sum(
            slots for key, slots in self.flows.items() if key[-1] == target
        )

    def compute_link_load(self, source: str, target: str) -> float:
        """Return the load from one region to another, in slots."""
        return sum(
            slots
            for key, slots in self.flows.items()
            if key[1:] == (source, target)
        )

    def choose_region(
        self,
        priority: Priority,
        source: str,
        position: float,
    ) -> str | None:
        """Return the region that serves a request, None to refuse it.

        The interval from 0 to 1 is divided among the target regions in
        proportion to their part of the demand; the rest stands for refusal.
        Every gateway applies the same proportions to its own requests, so
        they hold for all gateways together. Without a planned demand the
        request stays in its source region.

        :param priority: priority of the request's route.
        :param source: region of the caller.
        :param position: position of the request in the interval, 0 to 1,
            such as a hash of its id.

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
        upper_bound: float = 0
        for target, slots in self._list_targets(priority, source):
            upper_bound += slots / demand
            if position < upper_bound:
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
