"""Planning of load that overflows from one region to others."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusshunt.routing import Link, Priority
from crocusshunt.steering._load_plan import FlowKey, LoadPlan
from crocusshunt.steering._readings import PoolLoad, Readings, check_reading

_SLOTS_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class BalanceSettings:
    """Limits of overflow between regions.

    :param max_utilization: maximum planned share of a region's slots, 0 to
        1.
    :param max_link_utilization: maximum planned share of a link's limit, 0
        to 1.
    :param ramp_share: share of a region's slots by which load that it did
        not serve before may grow in one step, since its caches are cold.
    :param deadband: change, as a share of a region's slots, up to which a
        plan is kept.
    :param max_age_s: maximum age of a usable measurement, in seconds.
    :param max_error_rate: share of failed answers above which a region
        takes no additional load.
    :param max_slowdown: ratio of the current to the usual service time
        above which a region takes no additional load.
    """

    max_utilization: float = 0.8
    max_link_utilization: float = 0.8
    ramp_share: float = 0.1
    deadband: float = 0.03
    max_age_s: float = 10
    max_error_rate: float = 0.02
    max_slowdown: float = 1.5


@dataclass(frozen=True, slots=True)
class BalanceInputs:
    """Observed state from which the load plan of a pool is computed.

    :param pool: name of the pool.
    :param regions: all regions with servers of the pool.
    :param readings: the latest measurements.
    :param links: configured links between regions.
    :param unreachable: regions that are known to be unreachable.
    :param since_step_s: time since the plan last changed, in seconds; older
        measurements do not show its effect yet.
    """

    pool: str
    regions: tuple[str, ...]
    readings: Readings
    links: tuple[Link, ...]
    unreachable: frozenset[str] = frozenset()
    since_step_s: float = float('inf')


@dataclass(slots=True)
class _RemainingCapacity:
    """Capacity that is not yet assigned while a plan is computed.

    :param slots: free slots by region.
    :param inflow_slots: load that each region may still take from other
        regions, in slots.
    :param link_mbits: free bandwidth by link, in Mbit/s.
    """

    slots: dict[str, float] = field(default_factory=dict)
    inflow_slots: dict[str, float] = field(default_factory=dict)
    link_mbits: dict[tuple[str, str], float] = field(default_factory=dict)


def advance_plan(
    current: LoadPlan,
    inputs: BalanceInputs,
    settings: BalanceSettings,
) -> LoadPlan:
    """Return the load plan for the next step.

    Urgent load is placed first. Each priority is placed in its own region
    before any other. Load that a region newly takes over grows by at most
    one ramp step, and so does load that returns to a recovered region. A
    region whose measurements are missing or too old keeps its flows and
    takes no additional load. Load that does not fit anywhere is refused.

    :param current: the plan in force.
    :param inputs: the observed state.
    :param settings: limits of the plan.
    """
    planner = _Planner(current, inputs, settings)
    planned = planner.plan()
    if planner.is_within_deadband(planned):
        return current
    return planned


class _Planner:
    """Computes one plan by greedy assignment in order of priority and delay.

    A region maps to None in ``_loads`` if its measurement is unusable;
    unreachable regions are absent.
    """

    def __init__(
        self,
        current: LoadPlan,
        inputs: BalanceInputs,
        settings: BalanceSettings,
    ) -> None:
        self._current = current
        self._inputs = inputs
        self._settings = settings
        self._max_age_s = min(settings.max_age_s, inputs.since_step_s)
        self._loads = {
            name: self._get_usable_load(name)
            for name in inputs.regions
            if name not in inputs.unreachable
        }
        self._remaining = _RemainingCapacity()
        self._flows: dict[FlowKey, float] = {}

    def plan(self) -> LoadPlan:
        demand: dict[tuple[Priority, str], float] = {}
        for name, load in self._loads.items():
            self._set_region_capacity(name, load)
            demand.update(self._get_demand(name, load))
        self._set_link_capacity()
        # Urgent overflow may displace other load of the target region. All
        # other overflow is placed after the local load of every region.
        self._place_overflow(
            Priority.urgent, self._place_local(Priority.urgent, demand)
        )
        unplaced = [
            (priority, self._place_local(priority, demand))
            for priority in Priority
            if priority is not Priority.urgent
        ]
        for priority, overflow in unplaced:
            self._place_overflow(priority, overflow)
        return LoadPlan(self._flows, demand)

    def is_within_deadband(self, planned: LoadPlan) -> bool:
        """Return whether the plan in force can be kept.

        It must cover the same demand keys, refuse no load that the new plan
        serves, respect the capacity of each region and differ from the new
        plan by at most the deadband in each flow.
        """
        flows = self._current.flows
        if set(self._current.demand) != set(planned.demand):
            return False
        if sum(planned.flows.values()) > sum(flows.values()) + _SLOTS_TOLERANCE:
            return False
        keys = set(flows) | set(planned.flows)
        deadbands = {
            name: load.slots * self._settings.deadband
            for name, load in self._loads.items()
            if load is not None
        }
        return self._is_current_within_capacity() and all(
            abs(planned.flows.get(key, 0) - flows.get(key, 0))
            <= deadbands.get(key[-1], 0)
            for key in keys
        )

    def _is_current_within_capacity(self) -> bool:
        """Return whether the plan in force overloads no measured region."""
        utilization = self._settings.max_utilization
        return all(
            self._current.compute_region_load(name) <= load.slots * utilization
            for name, load in self._loads.items()
            if load is not None
        )

    def _get_usable_load(self, region: str) -> PoolLoad | None:
        load = self._inputs.readings.pools.get((self._inputs.pool, region))
        if check_reading(load, self._max_age_s) is None:
            return load
        return None

    def _set_region_capacity(self, region: str, load: PoolLoad | None) -> None:
        inflow = self._current.compute_inflow(region)
        if load is None:
            self._remaining.slots[region] = self._current.compute_region_load(
                region
            )
            self._remaining.inflow_slots[region] = inflow
            return
        slots = load.slots * self._settings.max_utilization
        self._remaining.slots[region] = slots
        growth = (
            0
            if _is_degraded(load, self._settings)
            else self._settings.ramp_share
        )
        self._remaining.inflow_slots[region] = inflow + load.slots * growth

    def _set_link_capacity(self) -> None:
        for link in self._inputs.links:
            pair = (link.source, link.target)
            planned_mbits = self._current.compute_link_load(
                *pair
            ) * self._get_mbits_per_slot(link.source)
            reading = self._inputs.readings.links.get(pair)
            limit = link.mbits * self._settings.max_link_utilization
            obstacle = check_reading(reading, self._max_age_s)
            if reading is None or obstacle is not None:
                self._remaining.link_mbits[pair] = min(planned_mbits, limit)
            else:
                other_mbits = max(0, reading.mbits - planned_mbits)
                self._remaining.link_mbits[pair] = max(0, limit - other_mbits)

    def _get_demand(
        self,
        region: str,
        load: PoolLoad | None,
    ) -> Mapping[tuple[Priority, str], float]:
        if load is None:
            return {
                (priority, region): self._current.demand[priority, region]
                for priority in Priority
                if (priority, region) in self._current.demand
            }
        normal = load.offered - load.urgent - load.deferrable
        return {
            (Priority.urgent, region): load.urgent,
            (Priority.normal, region): normal,
            (Priority.deferrable, region): load.deferrable,
        }

    def _get_mbits_per_slot(self, region: str) -> float:
        """Return the traffic of one slot of load, in Mbit/s."""
        load = self._loads.get(region)
        if load is None or not load.offered:
            return 0
        return load.mbits / load.offered

    def _place_local(
        self,
        priority: Priority,
        demand: Mapping[tuple[Priority, str], float],
    ) -> dict[str, float]:
        """Place load in its own region; return the overflow by region."""
        overflow = {}
        for region in self._loads:
            offered = demand.get((priority, region), 0)
            overflow[region] = offered - self._place_in_region(
                priority, region, offered
            )
        return overflow

    def _place_in_region(
        self,
        priority: Priority,
        region: str,
        offered: float,
    ) -> float:
        """Place load in its own region and return how much was placed.

        Load that other regions serve so far returns by at most one ramp step.
        """
        served_elsewhere = sum(
            slots
            for key, slots in self._current.flows.items()
            if key[:2] == (priority, region) and key[-1] != region
        )
        load = self._loads[region]
        step = load.slots * self._settings.ramp_share if load else 0
        ramped = self._current.flows.get((priority, region, region), 0) + step
        placed = min(
            offered,
            self._remaining.slots[region],
            max(ramped, offered - served_elsewhere),
        )
        self._add_flow(priority, region, region, placed)
        return placed

    def _place_overflow(
        self,
        priority: Priority,
        overflow: dict[str, float],
    ) -> None:
        """Place overflow in other regions, over links of low delay first."""
        links = sorted(
            self._inputs.links,
            key=lambda link: (link.delay_ms, link.source, link.target),
        )
        for link in links:
            source, target = link.source, link.target
            if (
                source in overflow
                and target in self._loads
                and overflow[source] > 0
            ):
                placed = min(
                    overflow[source], self._compute_capacity(source, target)
                )
                overflow[source] -= placed
                self._add_flow(priority, source, target, placed)

    def _compute_capacity(self, source: str, target: str) -> float:
        """Return how much load one region may send to another, in slots."""
        capacity = min(
            self._remaining.slots[target],
            self._remaining.inflow_slots[target],
        )
        mbits_per_slot = self._get_mbits_per_slot(source)
        if self._loads[source] is None:
            capacity = min(
                capacity, self._current.compute_link_load(source, target)
            )
        elif mbits_per_slot:
            link_mbits = self._remaining.link_mbits[source, target]
            capacity = min(capacity, link_mbits / mbits_per_slot)
        return max(0, capacity)

    def _add_flow(
        self,
        priority: Priority,
        source: str,
        target: str,
        slots: float,
    ) -> None:
        if slots <= 0:
            return
        key = (priority, source, target)
        self._flows[key] = self._flows.get(key, 0) + slots
        self._remaining.slots[target] -= slots
        if source != target:
            self._remaining.inflow_slots[target] -= slots
            pair = (source, target)
            self._remaining.link_mbits[pair] -= (
                slots * self._get_mbits_per_slot(source)
            )


def _is_degraded(load: PoolLoad, settings: BalanceSettings) -> bool:
    """Return whether a region is too busy, failing or slow for more load."""
    return (
        load.busy > load.slots * settings.max_utilization
        or load.errors > settings.max_error_rate
        or load.slowdown > settings.max_slowdown
    )
