"""This host's shares of customer rates and of the retry limit."""

from dataclasses import dataclass, field

from crocusshunt.catalog import CustomerRule
from crocusshunt.core import Clock
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._demands import FleetDemand, observe_demand
from crocusshunt.front._loan_plans import LoanPlan, LoanPlanner
from crocusshunt.front._retry_watch import RetryWatch
from crocusshunt.front._settings import FrontSettings
from crocusshunt.logs import log_event
from crocusshunt.sharing import (
    LEASE_S,
    CustomerLimiter,
    CustomerShare,
    DelayedGrowth,
    DemandMeter,
    GivenLeases,
    HeldLeases,
    RetryLimit,
    RetryLimiter,
    choose_keeper,
)

# A heartbeat interval and a margin: within this time, all hosts have learned of
# a host that joined or left.
_GROWTH_DELAY_S = 1.2
# A host that borrows keeps what it has for so long while its demand is lower.
_BORROW_S = 3
# Where demand exceeds this fraction of a rate, waiting for a token is useless.
_OVER_RATE_FRACTION = 0.95
# A retry is counted when it is sent but may reach its server in a later
# window; the margin keeps each window at the servers within the limit.
_RETRY_MARGIN_FACTOR = 0.8


@dataclass(slots=True)
class SharedLimits:
    """Divides customer rates and retries by the number of hosts.

    Each host has an equal part of a customer's rate, whoever hears whom. By
    the demand that all announce, hosts plan which fractions of it they
    lend to others, under leases. The bucket of a host has the fraction of its
    own part that it has not lent, and those that others lend to it.

    :param shares: this host's part of each limited customer's rate.
    :param plans: what it borrows and lends of each of these rates.
    :param held: parts that other hosts lend to this one.
    :param given: parts that this host lends to others.
    :param is_ready: whether this host accepts requests, so that it may keep
        buckets.
    :param is_registered: whether the store answers and lists this host, so that
        all hosts count it.
    """

    cluster: ClusterState
    retries: RetryWatch
    clock: Clock
    customers: CustomerLimiter = field(default_factory=CustomerLimiter)
    demand: DemandMeter = field(default_factory=DemandMeter)
    shares: dict[str, CustomerShare] = field(default_factory=dict)
    plans: dict[str, LoanPlan] = field(default_factory=dict)
    held: HeldLeases = field(default_factory=HeldLeases)
    given: GivenLeases = field(default_factory=GivenLeases)
    is_ready: bool = False
    is_registered: bool = False
    _divided_at: float = float('-inf')
    _borrowing_until: dict[str, float] = field(default_factory=dict)
    _growth: dict[str, DelayedGrowth] = field(default_factory=dict)
    _limited: frozenset[str] = frozenset()
    _over_rate: frozenset[str] = frozenset()

    def assume_lent(self) -> None:
        """Assume that a former start of this host has just lent all parts."""
        self.given.unknown_until = self.clock.boottime() + LEASE_S

    @property
    def own_name(self) -> str:
        """Return the name of this host."""
        return self.cluster.fleet.own.name

    def divide(self, now: float, *, is_ready: bool) -> None:
        """Recompute this host's parts, and plan loans by the known demand.

        :param now: monotonic seconds.
        :param is_ready: whether this host accepts requests.
        """
        self.is_ready = is_ready
        demand = self.observe(now)
        self._divided_at = now
        sharing_hosts = demand.registered if self.is_registered else 0
        self.retries.limiter.divide(sharing_hosts, now)
        index = self.cluster.index
        if index is None:
            return
        limited = [one for one in index.customers.values() if one.rate > 0]
        names = frozenset(one.name for one in limited)
        for removed in self._limited - names:
            self.customers.release(removed)
            self.shares.pop(removed, None)
            self.plans.pop(removed, None)
            self.held.release(removed)
            self._growth.pop(removed, None)
        self._limited = names
        fleet = self.cluster.fleet
        ready = [record.name for record in fleet.list_ready(now)]
        if is_ready:
            ready.append(fleet.own.name)
        for rule in limited:
            self._divide_rate(rule, demand, ready, now)

    def renew(self, now: float, max_age_s: float) -> None:
        """Divide the limits again if the last division is older.

        :param now: monotonic seconds.
        :param max_age_s: in seconds.
        """
        if now - self._divided_at > max_age_s:
            self.divide(now, is_ready=self.is_ready)

    def observe(self, now: float) -> FleetDemand:
        """Return the demand at this host and at all that are heard here."""
        return observe_demand(self.cluster.fleet, self.demand.rates(now), now)

    def refresh(self, customer: str, now: float) -> None:
        """Give the bucket of this host, if it has one, the parts lent now.

        :param now: monotonic seconds.
        """
        share = self.shares[customer]
        elapsed = self.clock.boottime()
        borrows = now < self._borrowing_until.get(customer, 0)
        if share.keeper == self.own_name or (borrows and not share.keeper):
            self.held.keep(customer, elapsed)
        else:
            self.held.release(customer)
        if share.keeper not in {'', self.own_name}:
            # Tokens left in the local bucket would be spent in addition to the
            # keeper's.
            self.customers.release(customer)
            return
        parts = self._count_parts(customer, elapsed)
        self.customers.resize(
            customer, parts * share.rate, parts * share.burst, now
        )

    def find_lent_time(self, customer: str) -> float:
        """Return how long the bucket of this host has no part, in seconds.

        0 if it has one.
        """
        elapsed = self.clock.boottime()
        if self._count_parts(customer, elapsed):
            return 0
        return self.given.remaining_s(customer, elapsed)

    def _count_parts(self, customer: str, elapsed: float) -> float:
        """Return how many hosts' parts the bucket of this host has.

        :param elapsed: time of the clock of leases, in seconds.
        """
        hosts = self.cluster.fleet.peers.keys()
        held = self.held.sum_fractions(customer, hosts, elapsed)
        return held + self.given.find_own_fraction(customer, elapsed)

    def _divide_rate(
        self,
        rule: CustomerRule,
        demand: FleetDemand,
        ready: list[str],
        now: float,
    ) -> None:
        """Divide a rate among all registered hosts, and plan its loans.

        The hosts of a region lend their parts of a small rate to one of them,
        the keeper.
        """
        keeper = choose_keeper(rule.name, rule.rate, demand.registered, ready)
        growth = self._growth.setdefault(
            rule.name, DelayedGrowth(_GROWTH_DELAY_S)
        )
        share = growth.apply(rule.rate / demand.registered, now)
        burst = rule.burst * share / rule.rate
        self.shares[rule.name] = CustomerShare(keeper, share, burst)
        fleet = self.cluster.fleet
        plan = LoanPlanner(fleet, demand, rule, keeper).plan()
        self.plans[rule.name] = plan
        if plan.lenders:
            self._borrowing_until[rule.name] = now + _BORROW_S
        self.refresh(rule.name, now)
        regions = demand.group_regions(rule.name)
        offered = sum(one.rate or 0 for one in regions.values())
        self._update_over_rate(rule, share, offered, demand.registered)

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
    cluster: ClusterState, settings: FrontSettings, clock: Clock
) -> SharedLimits:
    """Create the limits of a host that knows no demand yet."""
    limits = settings.limits
    retry_limit = RetryLimit(
        limits.retry_ratio * _RETRY_MARGIN_FACTOR,
        limits.retry_extra * _RETRY_MARGIN_FACTOR,
        limits.retry_window_s,
    )
    retries = RetryWatch(RetryLimiter(retry_limit), clock)
    shared = SharedLimits(cluster, retries, clock)
    if not settings.is_first_start:
        shared.assume_lent()
    return shared
