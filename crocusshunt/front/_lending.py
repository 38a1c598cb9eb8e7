"""Leases of this host's parts of rates to other hosts."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from math import inf

from crocusshunt.core import Clock
from crocusshunt.fleet import (
    KeptRange,
    LeaseNotice,
    LeaseTurns,
    Message,
    PartLeases,
    PartRequest,
    measure_lease_space,
)
from crocusshunt.front._limits import SharedLimits
from crocusshunt.sharing import (
    NO_STAMP,
    CustomerLimiter,
    CustomerShare,
    LeaseVersion,
    Loans,
    NameRange,
)

# A keeper gets a lease if it was not silent for so long: one that is slow
# replies now and then. Leases last longer, so a few lost datagrams end none.
_TRUSTED_AFTER_S = 2
# A borrower asks each heartbeat; one of its messages may be lost.
_ASKING_S = 2.5
# Plans that are older are made again before anything is lent.
_MAX_PLAN_AGE_S = 0.2
# Of a fraction in a message.
_FRACTION_BYTES = 9

Send = Callable[[Message, str], None]


@dataclass(slots=True)
class Lending:
    """Lends parts of rates to keepers and to hosts that ask.

    :param send: sends a message to a host by its name.
    :param fallback: tokens of this host's parts while a keeper is silent.
    :param silent_at: when a keeper last did not reply, monotonic seconds.
    """

    limits: SharedLimits
    clock: Clock
    send: Send
    fallback: CustomerLimiter = field(default_factory=CustomerLimiter)
    silent_at: dict[str, float] = field(default_factory=dict)
    _asking: dict[str, dict[str, float]] = field(default_factory=dict)
    _turns: LeaseTurns = field(default_factory=LeaseTurns)

    def lend_whole(self, customer: str, keeper: str) -> float:
        """Lend a whole part to a keeper that replies; return its stamp.

        ``NO_STAMP`` if other regions borrow from this part.
        """
        if not self._is_trusted(customer, keeper) or self._sum_lent(customer):
            return NO_STAMP
        given = self.limits.given
        stamp = given.give(customer, keeper, self.clock.boottime())
        if stamp != NO_STAMP:
            self.fallback.release(customer)
        return stamp

    def send_leases(self) -> None:
        """Lend this host's parts to the keepers of their customers."""
        kept: dict[str, list[str]] = {}
        for customer, share in self.limits.shares.items():
            if share.keeper not in {'', self.limits.own_name}:
                kept.setdefault(share.keeper, []).append(customer)
        for keeper, customers in kept.items():
            if any(map(self._sum_lent, customers)):
                self._send_parts(keeper)
            else:
                self._send_notices(keeper, customers)

    def handle_request(self, request: PartRequest) -> None:
        """Lend what the plan has for a borrower of the table of hosts."""
        host = request.name
        if host not in self.limits.cluster.fleet.peers:
            return
        now = self.clock.boottime()
        given = self.limits.given
        given.note_stamp(host, request.stamp, now)
        given.note_kept(host, request.stamp, request.kept)
        given.note_accepted(host, LeaseVersion(*request.accepted))
        for customer in request.customers:
            self._asking.setdefault(customer, {})[host] = now
        if request.customers and not request.has_more:
            self.limits.renew(self.clock.monotonic(), _MAX_PLAN_AGE_S)
            self._send_parts(host)

    def handle_range(self, told: KeptRange) -> None:
        """End the leases that a host does not use, of a range of customers."""
        if told.name not in self.limits.cluster.fleet.peers:
            return
        given = self.limits.given
        given.note_stamp(told.name, told.stamp, self.clock.boottime())
        names = NameRange(told.first, told.until)
        given.note_kept(told.name, told.stamp, told.customers, names)

    def _is_trusted(self, customer: str, keeper: str) -> bool:
        """Tell whether a keeper gets a part.

        Tokens that were taken in advance from the fallback bucket are paid
        back first.
        """
        now = self.clock.monotonic()
        trusted_at = self.silent_at.get(keeper, -inf) + _TRUSTED_AFTER_S
        return now >= trusted_at and not self.fallback.is_indebted(
            customer, now
        )

    def _send_notices(self, keeper: str, customers: list[str]) -> None:
        """Lend whole parts, as many as messages have space for."""
        empty = LeaseNotice(self.limits.own_name, self.clock.boottime(), ())
        space = measure_lease_space(empty)
        for part in self._turns.split(keeper, customers, space):
            self._send_notice(keeper, part)

    def _send_notice(self, keeper: str, customers: Iterable[str]) -> None:
        lent: dict[float, list[str]] = {}
        for customer in customers:
            stamp = self.lend_whole(customer, keeper)
            if stamp != NO_STAMP:
                lent.setdefault(stamp, []).append(customer)
        for named, whole in lent.items():
            notice = LeaseNotice(self.limits.own_name, named, tuple(whole))
            self.send(notice, keeper)

    def _send_parts(self, host: str) -> None:
        """Lend fractions to a host, in place of all that it has."""
        now = self.clock.boottime()
        given = self.limits.given
        wanted = self._list_wanted(host)
        if not wanted and not given.has_loans(host, now):
            return
        empty = PartLeases(self.limits.own_name, now, 0, {})
        space = measure_lease_space(empty)
        parts = self._turns.split(host, wanted, space, _FRACTION_BYTES)
        told = {name: wanted[name] for part in parts for name in part}
        loans = given.give_all(host, told, now)
        if loans is None:
            return
        for customer in loans.fractions:
            self.fallback.release(customer)
        self._send_loans(host, loans, parts or [()])

    def _send_loans(
        self, host: str, loans: Loans, parts: Sequence[Iterable[str]]
    ) -> None:
        """Tell a host what it is lent, each part in a message."""
        lent = loans.fractions
        for number, names in enumerate(parts):
            told = {name: lent[name] for name in names if name in lent}
            leases = PartLeases(
                self.limits.own_name,
                *loans.version,
                told,
                part=number,
                parts=len(parts),
            )
            self.send(leases, host)

    def _list_wanted(self, host: str) -> dict[str, float]:
        """Return the fractions that a host is to have, by customer."""
        found = {
            customer: self._find_fraction(customer, share, host)
            for customer, share in self.limits.shares.items()
        }
        return {name: fraction for name, fraction in found.items() if fraction}

    def _find_fraction(
        self, customer: str, share: CustomerShare, host: str
    ) -> float:
        """Return the fraction of this host's part that another one gets."""
        if share.keeper == host:
            if self._is_trusted(customer, host):
                return max(0, 1 - self._sum_lent(customer))
            return 0
        fleet = self.limits.cluster.fleet
        region = fleet.peers[host].record.region
        plan = self.limits.plans[customer]
        if region == fleet.own.region:
            planned = plan.hosts.get(host, 0)
            return planned if self._is_asking(customer, host) else 0
        if not self._is_asking(customer, host):
            return 0
        borrowers = self._list_borrowers(customer, region)
        return plan.regions.get(region, 0) / len(borrowers)

    def _sum_lent(self, customer: str) -> float:
        """Return the fraction that hosts of other regions are to have."""
        plan = self.limits.plans[customer]
        return sum(
            fraction
            for region, fraction in plan.regions.items()
            if self._list_borrowers(customer, region)
        )

    def _is_asking(self, customer: str, host: str) -> bool:
        asked_at = self._asking.get(customer, {}).get(host, -inf)
        return self.clock.boottime() - asked_at < _ASKING_S

    def _list_borrowers(self, customer: str, region: str) -> list[str]:
        peers = self.limits.cluster.fleet.peers
        return [
            host
            for host in self._asking.get(customer, ())
            if host in peers
            and peers[host].record.region == region
            and self._is_asking(customer, host)
        ]
