"""Leases of other hosts' parts of rates to this one."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec.structs import replace

from crocusshunt.core import Clock
from crocusshunt.fleet import (
    LeaseNotice,
    LeaseTurns,
    PartLeases,
    PartRequest,
    measure_lease_space,
)
from crocusshunt.front._kept_customers import KeptCustomers
from crocusshunt.front._lending import Send
from crocusshunt.front._limits import SharedLimits
from crocusshunt.sharing import NO_STAMP, LeasePart, LeaseVersion


@dataclass(slots=True)
class Borrowing:
    """Asks other hosts for fractions of their parts, and uses what they lend.

    :param send: sends a message to a host by its name.
    """

    limits: SharedLimits
    clock: Clock
    send: Send
    kept: KeptCustomers = field(init=False)
    _asked: frozenset[str] = frozenset()
    _turns: LeaseTurns = field(default_factory=LeaseTurns)

    def __post_init__(self) -> None:
        """Create the part that depends on the others."""
        self.kept = KeptCustomers(
            self.limits.own_name, self.limits.held, self.clock
        )

    def send_requests(self) -> None:
        """Ask for what the plans have, once each heartbeat.

        Hosts that were asked before learn what is not needed any more.
        """
        wanted: dict[str, list[str]] = {}
        for customer, plan in self.limits.plans.items():
            for host in plan.lenders:
                wanted.setdefault(host, []).append(customer)
        asked = sorted(self._asked.union(wanted))
        self._send_range(asked)
        for host in asked:
            self._send_request(host, wanted.get(host, ()))
        self._asked = frozenset(wanted)

    def handle_parts(self, leases: PartLeases) -> None:
        """Use the leases of another host in place of its earlier ones."""
        has_shrunk = self.limits.held.accept_all(
            leases.name,
            LeaseVersion(leases.stamp, leases.number),
            leases.fractions,
            self.clock.boottime(),
            LeasePart(leases.part, leases.parts),
        )
        if has_shrunk:
            # It may use the rest as soon as it knows that this host does not.
            self._send_request(leases.name, ())

    def handle_notice(self, notice: LeaseNotice) -> None:
        """Accept the whole parts that another host lends to this one."""
        now = self.clock.boottime()
        for customer in notice.customers:
            self.limits.held.accept(customer, notice.name, notice.stamp, now)

    def _send_range(self, lenders: Iterable[str]) -> None:
        """Tell other hosts a range of what is kept, if all is too much."""
        stamp, _kept = self.kept.tell()
        if stamp != NO_STAMP or not self.limits.held.kept:
            return
        fleet = self.limits.cluster.fleet
        near = [record.name for record in fleet.same_region_hosts]
        told = self.kept.tell_range()
        if told is None:
            return
        for host in sorted({*near, *lenders}):
            self.send(told, host)

    def _send_request(self, host: str, customers: Iterable[str]) -> None:
        """Ask a host for fractions, in as many messages as needed."""
        stamp, kept = self.kept.tell()
        request = PartRequest(
            self.limits.own_name,
            stamp,
            (),
            kept,
            self.limits.held.find_complete_version(host),
        )
        space = measure_lease_space(request)
        parts = self._turns.split(host, customers, space) or [()]
        for left, part in zip(reversed(range(len(parts))), parts, strict=True):
            told = replace(request, customers=part, has_more=left > 0)
            self.send(told, host)
