"""This host's shares of customer rates and of the retry limit."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from crocusshunt.catalog import CustomerRule
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._demands import FleetDemand, observe_demand
from crocusshunt.front._settings import DeploymentLimits
from crocusshunt.logs import log_event
from crocusshunt.sharing import (
    CustomerLimiter,
    CustomerShare,
    DelayedGrowth,
    DemandMeter,
    RetryLimit,
    RetryLimiter,
    choose_keeper,
    divide_rate,
)

# A heartbeat interval and a margin: within this time, all hosts have divided a
# rate by the demand that the last heartbeats announced.
_GROWTH_DELAY_S = 1.2
# Where demand exceeds this fraction of a rate, waiting for a token is useless.
_OVER_RATE_FRACTION = 0.95
# A retry is counted when it is sent but may reach its server in a later
# window; the margin keeps each window at the servers within the limit.
_RETRY_MARGIN_FACTOR = 0.8


@dataclass(slots=True)
class SharedLimits:
    """Divides customer rates by demand, and retries by the number of hosts.

    All hosts divide by the demand of all as last announced, this host's own
    included. By its newest own demand, a host would take what others do not
    seem to need, while these do the same.

    :param shares: this host's share of each limited customer's rate.
    :param announced: demand at this host as last announced to the others, in
        requests a second, by customer.
    """

    cluster: ClusterState
    retries: RetryLimiter
    customers: CustomerLimiter = field(default_factory=CustomerLimiter)
    demand: DemandMeter = field(default_factory=DemandMeter)
    shares: dict[str, CustomerShare] = field(default_factory=dict)
    announced: Mapping[str, float] = field(default_factory=dict)
    _growth: dict[str, DelayedGrowth] = field(default_factory=dict)
    _limited: frozenset[str] = frozenset()
    _over_rate: frozenset[str] = frozenset()

    @property
    def own_name(self) -> str:
        """Return the name of this host."""
        return self.cluster.fleet.own.name

    def divide(self, now: float, *, is_ready: bool) -> None:
        """Recompute this host's shares from the known demand of all hosts.

        :param now: monotonic seconds.
        :param is_ready: whether this host accepts requests.
        """
        demand = self.observe(now)
        self.retries.resize(demand.registered)
        index = self.cluster.index
        if index is None:
            return
        limited = [one for one in index.customers.values() if one.rate > 0]
        names = frozenset(one.name for one in limited)
        for removed in self._limited - names:
            self.customers.release(removed)
            self.shares.pop(removed, None)
            self._growth.pop(removed, None)
        self._limited = names
        fleet = self.cluster.fleet
        ready = [record.name for record in fleet.list_ready(now)]
        if is_ready:
            ready.append(fleet.own.name)
        for rule in limited:
            self._divide_rate(rule, demand, ready, now)

    def announce_demand(self, now: float) -> Mapping[str, float]:
        """Return the demand at this host, to be announced to the others."""
        self.announced = self.demand.rates(now)
        return self.announced

    def observe(self, now: float) -> FleetDemand:
        """Return the announced demand at all hosts that are heard here."""
        return observe_demand(self.cluster.fleet, self.announced, now)

    def _divide_rate(
        self,
        rule: CustomerRule,
        demand: FleetDemand,
        ready: list[str],
        now: float,
    ) -> None:
        """Divide a rate among regions, then among this region's hosts.

        Every host divides the rate among the regions by the same demand, so
        the shares of all regions add up to the rate. A region's share of a
        small rate is not divided further: one host, the keeper, holds all of
        its tokens.
        """
        regions = demand.group_regions(rule.name)
        shares = divide_rate(rule.rate, regions)
        region_share = shares[self.cluster.fleet.own.region]
        keeper = choose_keeper(rule.name, rule.rate, demand.registered, ready)
        if keeper == self.own_name:
            share = region_share
        elif keeper:
            share = region_share / len(demand.hosts)
        else:
            hosts = demand.group_hosts(rule.name)
            share = divide_rate(region_share, hosts)[self.own_name]
        growth = self._growth.setdefault(
            rule.name, DelayedGrowth(_GROWTH_DELAY_S)
        )
        share = growth.apply(share, now)
        self._apply_share(rule, keeper, share, now)
        offered = sum(one.rate or 0 for one in regions.values())
        # Whether requests wait concerns this host alone, so its newest demand
        # counts here.
        offered += self.demand.rate(rule.name, now)
        offered -= self.announced.get(rule.name, 0)
        self._update_over_rate(rule, share, offered, demand.registered)

    def _apply_share(
        self,
        rule: CustomerRule,
        keeper: str,
        share: float,
        now: float,
    ) -> None:
        burst = rule.burst * share / rule.rate
        self.shares[rule.name] = CustomerShare(keeper, share, burst)
        if keeper in {'', self.own_name}:
            self.customers.resize(rule.name, share, burst, now)
        else:
            # Tokens left in the local bucket would be spent in addition to the
            # keeper's.
            self.customers.release(rule.name)

    def _update_over_rate(
        self,
        rule: CustomerRule,
        share: float,
        offered: float,
        hosts: int,
    ) -> None:
        is_over_rate = offered >= _OVER_RATE_FRACTION * rule.rate
        self.customers.set_over_rate(rule.name, is_over_rate=is_over_rate)
        if is_over_rate == (rule.name in self._over_rate):
            return
        self._over_rate ^= {rule.name}
        log_event(
            'customer over its rate'
            if is_over_rate
            else 'customer in its rate',
            customer=rule.name,
            rate=rule.rate,
            asked=round(offered, 1),
            own_share=round(share, 2),
            hosts=hosts,
        )


def create_shared_limits(
    cluster: ClusterState, limits: DeploymentLimits
) -> SharedLimits:
    """Create the limits of a host that knows no demand yet."""
    retry_limit = RetryLimit(
        limits.retry_ratio * _RETRY_MARGIN_FACTOR,
        limits.retry_extra * _RETRY_MARGIN_FACTOR,
        limits.retry_window_s,
    )
    return SharedLimits(cluster, RetryLimiter(retry_limit))
