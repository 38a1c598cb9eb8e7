"""This host's parts of the limits that all hosts share."""

from dataclasses import dataclass, field

from crocusshunt.catalog import CustomerRule
from crocusshunt.front._knowledge import Knowledge
from crocusshunt.logs import log_event
from crocusshunt.sharing import (
    CustomerLimiter,
    DemandMeter,
    HostDemand,
    RetryLimiter,
    divide_rate,
)

# A host not heard for this long may be using its whole equal part.
_DEMAND_AGE_S = 2
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

    def _divide_rate(self, rule: CustomerRule, now: float) -> None:
        demands = self._find_demands(rule.name, now)
        own = self.knowledge.fleet.own.name
        part = divide_rate(rule.rate, demands, own)
        burst = rule.burst * part / rule.rate
        self.customers.resize(rule.name, part, burst, now)
        asked = sum(one.rate or 0 for one in demands.values())
        is_pressed = asked >= _PRESSED * rule.rate
        self.customers.press(rule.name, is_pressed=is_pressed)
        self._note_pressure(rule, part, asked, is_pressed=is_pressed)

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

    def _find_demands(self, customer: str, now: float) -> dict[str, HostDemand]:
        fleet = self.knowledge.fleet
        own = HostDemand(self.demand.rate(customer, now))
        found = {fleet.own.name: own}
        for name, peer in fleet.peers.items():
            rate = None
            if peer.heartbeat is not None and peer.is_heard(now, _DEMAND_AGE_S):
                rate = peer.heartbeat.demand.get(customer, 0)
            found[name] = HostDemand(rate)
        return found
