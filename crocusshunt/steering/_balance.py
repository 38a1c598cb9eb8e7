"""Overflow of load between regions."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusshunt.routing import Link, Priority
from crocusshunt.steering._plans import FlowKey, LoadPlan
from crocusshunt.steering._readings import PoolLoad, Readings, check_reading

_TINY_SLOTS = 1e-9


@dataclass(frozen=True, slots=True)
class BalanceSettings:
    """Limits of overflow.

    :param greatest_use: greatest planned share of a region's slots.
    :param link_use: greatest planned share of a link's limit.
    :param ramp: share of a region's slots by which load that it did not
        serve before may grow in one step, since its caches are cold.
    :param band: change, as a share of a region's slots, too small to act on.
    :param greatest_age_s: greatest age of a measurement, in seconds.
    :param greatest_errors: share of failures above which a region takes no
        more load.
    :param greatest_slowdown: service time relative to the usual, above
        which it takes no more.
    """

    greatest_use: float = 0.8
    link_use: float = 0.8
    ramp: float = 0.1
    band: float = 0.03
    greatest_age_s: float = 10
    greatest_errors: float = 0.02
    greatest_slowdown: float = 1.5


@dataclass(frozen=True, slots=True)
class BalanceInputs:
    """What a plan is made from.

    :param regions: all regions with servers of the pool.
    :param lost: regions that are known to be unreachable.
    :param since_step_s: time since the plan last changed, in seconds; older
        measurements do not show its effect yet.
    """

    pool: str
    regions: tuple[str, ...]
    readings: Readings
    links: tuple[Link, ...]
    lost: frozenset[str] = frozenset()
    since_step_s: float = float('inf')


@dataclass(slots=True)
class _Room:
    """Room that is left while a plan is made.

    :param slots: room of each region.
    :param growth: by how much each region's inflow may still grow.
    :param links: room of each link, in Mbit/s.
    """

    slots: dict[str, float] = field(default_factory=dict)
    growth: dict[str, float] = field(default_factory=dict)
    links: dict[tuple[str, str], float] = field(default_factory=dict)


def advance_plan(
    before: LoadPlan,
    facts: BalanceInputs,
    settings: BalanceSettings,
) -> LoadPlan:
    """Return the plan for the next step.

    Urgent load is placed first, each priority in its own region before any
    other. What a region newly takes over grows by a ramp; so does what
    returns to a region that healed. A region whose measurements are missing
    or old keeps its flows and takes no more. What finds no room is refused.

    :param before: the plan in force.
    """
    planner = _Planner(before, facts, settings)
    planned = planner.plan()
    if planner.is_settled(planned):
        return before
    return planned


class _Planner:
    def __init__(
        self,
        before: LoadPlan,
        facts: BalanceInputs,
        settings: BalanceSettings,
    ) -> None:
        self._before = before
        self._facts = facts
        self._settings = settings
        self._age_s = min(settings.greatest_age_s, facts.since_step_s)
        self._loads = {
            name: self._read(name)
            for name in facts.regions
            if name not in facts.lost
        }
        self._room = _Room()
        self._flows: dict[FlowKey, float] = {}

    def plan(self) -> LoadPlan:
        demand: dict[tuple[Priority, str], float] = {}
        for name, load in self._loads.items():
            self._measure_room(name, load)
            demand.update(self._measure_demand(name, load))
        self._measure_links()
        # Urgent load may displace other regions' load, all other overflow
        # takes what every region's own load leaves.
        self._place_overflow(
            Priority.urgent, self._place(Priority.urgent, demand)
        )
        waiting = [
            (priority, self._place(priority, demand))
            for priority in Priority
            if priority is not Priority.urgent
        ]
        for priority, left in waiting:
            self._place_overflow(priority, left)
        return LoadPlan(self._flows, demand)

    def is_settled(self, planned: LoadPlan) -> bool:
        """Tell whether the plan in force is near enough and within caps."""
        held = self._before.flows
        if set(self._before.demand) != set(planned.demand):
            return False
        if sum(planned.flows.values()) > sum(held.values()) + _TINY_SLOTS:
            return False
        keys = set(held) | set(planned.flows)
        bands = {
            name: load.slots * self._settings.band
            for name, load in self._loads.items()
            if load is not None
        }
        return self._has_room() and all(
            abs(planned.flows.get(key, 0) - held.get(key, 0))
            <= bands.get(key[-1], 0)
            for key in keys
        )

    def _has_room(self) -> bool:
        """Tell whether the plan in force keeps every region within its room."""
        use = self._settings.greatest_use
        return all(
            self._before.measure_load(name) <= load.slots * use
            for name, load in self._loads.items()
            if load is not None
        )

    def _read(self, region: str) -> PoolLoad | None:
        load = self._facts.readings.pools.get((self._facts.pool, region))
        if check_reading(load, self._age_s) is None:
            return load
        return None

    def _measure_room(self, region: str, load: PoolLoad | None) -> None:
        inflow = self._before.measure_inflow(region)
        if load is None:
            self._room.slots[region] = self._before.measure_load(region)
            self._room.growth[region] = inflow
            return
        slots = load.slots * self._settings.greatest_use
        self._room.slots[region] = slots
        growth = (
            0 if _is_strained(load, self._settings) else self._settings.ramp
        )
        self._room.growth[region] = inflow + load.slots * growth

    def _measure_links(self) -> None:
        for link in self._facts.links:
            pair = (link.source, link.target)
            held = self._before.measure_link(*pair) * self._weigh(link.source)
            reading = self._facts.readings.links.get(pair)
            limit = link.mbits * self._settings.link_use
            obstacle = check_reading(reading, self._age_s)
            if reading is None or obstacle is not None:
                self._room.links[pair] = min(held, limit)
            else:
                other = max(0, reading.mbits - held)
                self._room.links[pair] = max(0, limit - other)

    def _measure_demand(
        self,
        region: str,
        load: PoolLoad | None,
    ) -> Mapping[tuple[Priority, str], float]:
        if load is None:
            return {
                (priority, region): self._before.demand[priority, region]
                for priority in Priority
                if (priority, region) in self._before.demand
            }
        normal = load.offered - load.urgent - load.deferrable
        return {
            (Priority.urgent, region): load.urgent,
            (Priority.normal, region): normal,
            (Priority.deferrable, region): load.deferrable,
        }

    def _weigh(self, region: str) -> float:
        """Return the traffic of one slot's load, in Mbit/s."""
        load = self._loads.get(region)
        if load is None or not load.offered:
            return 0
        return load.mbits / load.offered

    def _place(
        self,
        priority: Priority,
        demand: Mapping[tuple[Priority, str], float],
    ) -> dict[str, float]:
        """Place load in its own regions and return what is left of each."""
        left = {}
        for region in self._loads:
            wanted = demand.get((priority, region), 0)
            left[region] = wanted - self._place_local(priority, region, wanted)
        return left

    def _place_local(
        self,
        priority: Priority,
        region: str,
        wanted: float,
    ) -> float:
        away = sum(
            slots
            for key, slots in self._before.flows.items()
            if key[:2] == (priority, region) and key[-1] != region
        )
        load = self._loads[region]
        step = load.slots * self._settings.ramp if load else 0
        back = self._before.flows.get((priority, region, region), 0) + step
        placed = min(
            wanted,
            self._room.slots[region],
            max(back, wanted - away),
        )
        self._add(priority, region, region, placed)
        return placed

    def _place_overflow(
        self,
        priority: Priority,
        left: dict[str, float],
    ) -> None:
        """Place what is left in other regions, the nearest first."""
        links = sorted(
            self._facts.links,
            key=lambda link: (link.delay_ms, link.source, link.target),
        )
        for link in links:
            source, target = link.source, link.target
            if source in left and target in self._loads and left[source] > 0:
                placed = min(left[source], self._find_room(source, target))
                left[source] -= placed
                self._add(priority, source, target, placed)

    def _find_room(self, source: str, target: str) -> float:
        room = min(self._room.slots[target], self._room.growth[target])
        mbits_a_slot = self._weigh(source)
        if self._loads[source] is None:
            room = min(room, self._before.measure_link(source, target))
        elif mbits_a_slot:
            link = self._room.links[source, target]
            room = min(room, link / mbits_a_slot)
        return max(0, room)

    def _add(
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
        self._room.slots[target] -= slots
        if source != target:
            self._room.growth[target] -= slots
            pair = (source, target)
            self._room.links[pair] -= slots * self._weigh(source)


def _is_strained(load: PoolLoad, settings: BalanceSettings) -> bool:
    return (
        load.busy > load.slots * settings.greatest_use
        or load.errors > settings.greatest_errors
        or load.slowdown > settings.greatest_slowdown
    )
