"""This host's parts of the limits that all hosts share."""

from dataclasses import dataclass, field

from crocusshunt.catalog import CustomerRule
from crocusshunt.front._demands import FleetDemand, observe_demand
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.logs import log_event
from crocusshunt.sharing import (
    CustomerLimiter,
    CustomerShare,
    DemandMeter,
    RetryLimiter,
    choose_keeper,
    divide_rate,
)

# Demand above this part of a rate leaves no tokens to wait for.
_PRESSED = 0.95


@dataclass(slots=True)
class SharedLimits:
    """Divides rates by demand, and retries by the number of hosts."""

    knowledge: Knowledge
    retries: RetryLimiter
    customers: CustomerLimiter = field(default_factory=CustomerLimiter)
    demand: DemandMeter = field(default_factory=DemandMeter)
    parts: dict[str, CustomerShare] = field(default_factory=dict)
    _limited: frozenset[str] = frozenset()
    _pressed: frozenset[str] = frozenset()

    @property
    def own_name(self) -> str:
        """Return the name of this host."""
        return self.knowledge.fleet.own.name

    def divide(self, now: float, *, is_ready: bool) -> None:
        """Size this host's parts by what is known of the others.

        :param is_ready: whether this host takes requests.
        """
        demand = self.observe(now)
        self.retries.resize(demand.registered)
        index = self.knowledge.index
        if index is None:
            return
        limited = [one for one in index.customers.values() if one.rate > 0]
        names = frozenset(one.name for one in limited)
        for gone in self._limited - names:
            self.customers.release(gone)
            self.parts.pop(gone, None)
        self._limited = names
        fleet = self.knowledge.fleet
        ready = [record.name for record in fleet.list_ready(now)]
        if is_ready:
            ready.append(fleet.own.name)
        for rule in limited:
            self._divide_rate(rule, demand, ready, now)

    def observe(self, now: float) -> FleetDemand:
        """Return what is asked of all hosts, as far as it was heard."""
        return observe_demand(self.knowledge.fleet, self.demand, now)

    def _divide_rate(
        self,
        rule: CustomerRule,
        demand: FleetDemand,
        ready: list[str],
        now: float,
    ) -> None:
        """Divide a rate among regions, then among this region's hosts.

        Every host divides it among the regions by the same sums, so the
        parts of all regions add up to the rate. A region's part of a small
        rate is kept whole by one of its hosts.
        """
        regions = demand.group_regions(rule.name)
        parts = divide_rate(rule.rate, regions)
        region_part = parts[self.knowledge.fleet.own.region]
        keeper = choose_keeper(rule.name, rule.rate, demand.registered, ready)
        if keeper == self.own_name:
            part = region_part
        elif keeper:
            part = region_part / len(demand.hosts)
        else:
            hosts = demand.group_hosts(rule.name)
            part = divide_rate(region_part, hosts)[self.own_name]
        self._take_part(rule, keeper, part, now)
        asked = sum(one.rate or 0 for one in regions.values())
        self._note_pressure(rule, part, asked, demand.registered)

    def _take_part(
        self,
        rule: CustomerRule,
        keeper: str,
        part: float,
        now: float,
    ) -> None:
        burst = rule.burst * part / rule.rate
        self.parts[rule.name] = CustomerShare(keeper, part, burst)
        if keeper in {'', self.own_name}:
            self.customers.resize(rule.name, part, burst, now)
        else:
            # Tokens kept from earlier would be spent beside the keeper's.
            self.customers.release(rule.name)

    def _note_pressure(
        self,
        rule: CustomerRule,
        part: float,
        asked: float,
        hosts: int,
    ) -> None:
        is_over_rate = asked >= _PRESSED * rule.rate
        self.customers.set_over_rate(rule.name, is_over_rate=is_over_rate)
        if is_over_rate == (rule.name in self._pressed):
            return
        self._pressed ^= {rule.name}
        log_event(
            'customer over its rate'
            if is_over_rate
            else 'customer in its rate',
            customer=rule.name,
            rate=rule.rate,
            asked=round(asked, 1),
            own_part=round(part, 2),
            hosts=hosts,
        )
