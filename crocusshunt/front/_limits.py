"""This host's parts of the limits that all hosts share."""

from dataclasses import dataclass, field

from crocusshunt.catalog import CustomerRule
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.logs import log_event
from crocusshunt.sharing import (
    CustomerLimiter,
    DemandMeter,
    GroupDemand,
    RetryLimiter,
    divide_rate,
)

# Stands for hosts of any region that may be using their equal parts.
_SILENT = ''
# Demand above this part of a rate leaves no tokens to wait for.
_PRESSED = 0.95


@dataclass(slots=True)
class SharedLimits:
    """Divides rates by demand, and retries by the number of hosts."""

    knowledge: Knowledge
    retries: RetryLimiter
    customers: CustomerLimiter = field(default_factory=CustomerLimiter)
    demand: DemandMeter = field(default_factory=DemandMeter)
    _limited: frozenset[str] = frozenset()
    _pressed: frozenset[str] = frozenset()

    def divide(self, now: float) -> None:
        """Size this host's parts by what is known of the others."""
        self.retries.resize(len(self.knowledge.fleet.names))
        index = self.knowledge.index
        if index is None:
            return
        limited = [one for one in index.customers.values() if one.rate > 0]
        names = frozenset(one.name for one in limited)
        for gone in self._limited - names:
            self.customers.release(gone)
        self._limited = names
        for rule in limited:
            self._divide_rate(rule, now)

    def sum_demand(self, now: float) -> dict[str, float]:
        """Return what is offered to this region's hosts, by customer."""
        total = self.demand.rates(now)
        for peer in self.knowledge.fleet.list_heard(now):
            heard = {} if peer.heartbeat is None else peer.heartbeat.demand
            for customer, rate in heard.items():
                total[customer] = total.get(customer, 0) + rate
        return total

    def _divide_rate(self, rule: CustomerRule, now: float) -> None:
        """Divide a rate among regions, then among this region's hosts.

        Every host divides it among the regions by the same sums, so the
        parts of all regions add up to the rate.
        """
        fleet = self.knowledge.fleet
        regions = self._group_regions(rule.name, now)
        own_region = divide_rate(rule.rate, regions)[fleet.own.region]
        hosts = self._group_hosts(rule.name, now)
        part = divide_rate(own_region, hosts)[fleet.own.name]
        burst = rule.burst * part / rule.rate
        self.customers.resize(rule.name, part, burst, now)
        asked = sum(one.rate or 0 for one in regions.values())
        is_pressed = asked >= _PRESSED * rule.rate
        self.customers.press(rule.name, is_pressed=is_pressed)
        self._note_pressure(rule, part, asked, is_pressed=is_pressed)

    def _group_hosts(self, customer: str, now: float) -> dict[str, GroupDemand]:
        fleet = self.knowledge.fleet
        found = {
            fleet.own.name: GroupDemand(self.demand.rate(customer, now)),
        }
        for peer in fleet.list_heard(now):
            if peer.heartbeat is not None:
                rate = peer.heartbeat.demand.get(customer, 0)
                found[peer.record.name] = GroupDemand(rate)
        return found

    def _group_regions(
        self,
        customer: str,
        now: float,
    ) -> dict[str, GroupDemand]:
        """Return each region's heard hosts, and all that are not heard."""
        fleet = self.knowledge.fleet
        own_hosts = len(fleet.list_heard(now)) + 1
        own_rate = self.sum_demand(now).get(customer, 0)
        found = {fleet.own.region: GroupDemand(own_rate, own_hosts)}
        for summary in fleet.list_summaries(now):
            hosts = min(summary.hosts, fleet.count_hosts(summary.region))
            if hosts:
                rate = summary.demand.get(customer, 0)
                found[summary.region] = GroupDemand(rate, hosts)
        heard = sum(group.hosts for group in found.values())
        silent = len(fleet.names) - heard
        if silent > 0:
            found[_SILENT] = GroupDemand(None, silent)
        return found

    def _note_pressure(
        self,
        rule: CustomerRule,
        part: float,
        asked: float,
        *,
        is_pressed: bool,
    ) -> None:
        if is_pressed == (rule.name in self._pressed):
            return
        self._pressed ^= {rule.name}
        log_event(
            'customer over its rate' if is_pressed else 'customer in its rate',
            customer=rule.name,
            rate=rule.rate,
            asked=round(asked, 1),
            own_part=round(part, 2),
            hosts=len(self.knowledge.fleet.names),
        )
