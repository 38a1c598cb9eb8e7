"""Leases that a host has given to others."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from crocusshunt.sharing._leases import (
    ALL_NAMES,
    LEASE_S,
    NO_STAMP,
    LeaseVersion,
    NameRange,
)

# Without a newer stamp for so long, the borrower is not heard: a lease would
# end before it arrived.
_MAX_STAMP_AGE_S = 1.5
# Smaller fractions of a part are not lent; those lent are multiples of a tenth
# of it.
_MIN_FRACTION = 0.01
_FRACTION_STEPS = 1000


@dataclass(frozen=True, slots=True)
class _GivenLease:
    fraction: float
    version: LeaseVersion
    ends_at: float


@dataclass(frozen=True, slots=True)
class _Stamp:
    at: float
    received_at: float


@dataclass(frozen=True, slots=True)
class Loans:
    """All leases to one borrower, which replace those before.

    :param fractions: fraction of this host's part, by customer.
    """

    version: LeaseVersion
    fractions: dict[str, float]


@dataclass(slots=True)
class _CustomerLeases:
    """Leases of this host's part of one customer's rate, by borrower."""

    leases: dict[str, list[_GivenLease]] = field(default_factory=dict)

    def add(self, host: str, added: _GivenLease, now: float) -> None:
        """Add a lease beside larger ones that may still be used."""
        larger = [
            one
            for one in self.leases.get(host, ())
            if now < one.ends_at and one.fraction > added.fraction
        ]
        self.leases[host] = [*larger, added]

    def end(self, host: str, before: LeaseVersion) -> None:
        """End the leases to a host before a version."""
        ended = self.leases.pop(host, ())
        left = [one for one in ended if one.version >= before]
        if left:
            self.leases[host] = left

    def list_lent(self, now: float) -> dict[str, float]:
        """Return the largest fraction that each borrower may use."""
        return {
            host: max(
                (one.fraction for one in leases if now < one.ends_at), default=0
            )
            for host, leases in self.leases.items()
        }

    def find_first_end(self, now: float) -> float:
        """Return when the leases to some borrower end, now without any."""
        ends = (
            max(one.ends_at for one in leases)
            for leases in self.leases.values()
        )
        return min((at for at in ends if at > now), default=now)


@dataclass(slots=True)
class GivenLeases:
    """Leases that a host has given, by customer and borrower.

    :param unknown_until: when the leases have ended that this host may have
        given before it was started again.
    :param dropped_by: hosts that have dropped these.

    >>> given = GivenLeases()
    >>> given.give('court', 'h1', now=5)
    0
    >>> given.note_stamp('h1', 70, now=5)
    >>> given.give('court', 'h1', now=6)
    70
    >>> given.remaining_s('court', now=7)
    2.5
    >>> given.note_kept('h1', 71, kept=())
    >>> given.remaining_s('court', now=7)
    0
    """

    unknown_until: float = 0
    dropped_by: set[str] = field(default_factory=set)
    _stamps: dict[str, _Stamp] = field(default_factory=dict)
    _customers: dict[str, _CustomerLeases] = field(default_factory=dict)
    _number: int = 0

    def note_stamp(self, host: str, stamp: float, now: float) -> None:
        """Record the time of another host's clock that its message names."""
        known = self._stamps.get(host)
        if known is None or stamp > known.at:
            self._stamps[host] = _Stamp(stamp, now)

    def note_drop(self, host: str) -> None:
        """Record that a host has dropped the leases of earlier starts."""
        self.dropped_by.add(host)

    def is_unsure(self, now: float) -> bool:
        """Tell whether leases of earlier starts may hold."""
        return now < self.unknown_until

    def settle(self, hosts: Iterable[str]) -> None:
        """End the leases of earlier starts if all other hosts dropped them.

        :param hosts: all hosts that may have such a lease.
        """
        if self.dropped_by.issuperset(hosts):
            self.unknown_until = 0

    def note_kept(
        self,
        host: str,
        stamp: float,
        kept: Collection[str],
        names: NameRange = ALL_NAMES,
    ) -> None:
        """End the leases of customers whose bucket a host does not keep.

        A host that has just been started keeps none.

        :param stamp: time of that host's clock at which it said so.
        :param names: range of customers of which it said so.
        """
        later = LeaseVersion(math.nextafter(stamp, math.inf))
        for customer, leases in self._customers.items():
            if customer not in kept and names.has(customer):
                leases.end(host, later)

    def note_accepted(self, host: str, version: LeaseVersion) -> None:
        """End the leases that a host has replaced by newer ones."""
        for leases in self._customers.values():
            leases.end(host, version)

    def give(self, customer: str, host: str, now: float) -> float:
        """Lend a whole part, or renew that; return the stamp that it names.

        Return ``NO_STAMP`` without a lease: another host may still use a
        fraction, or the borrower was not heard recently.
        """
        stamp = self._find_stamp(host, now)
        if stamp == NO_STAMP or self._find_free(customer, host, now) < 1:
            return NO_STAMP
        lease = _GivenLease(1, LeaseVersion(stamp), now + LEASE_S)
        self._find(customer).add(host, lease, now)
        return stamp

    def give_all(
        self, host: str, wanted: Mapping[str, float], now: float
    ) -> Loans | None:
        """Lend fractions of parts in place of all that a host has now.

        None if the borrower was not heard recently. A fraction that others may
        still use is not lent.

        :param wanted: fraction of the part to lend, by customer.
        """
        stamp = self._find_stamp(host, now)
        if stamp == NO_STAMP:
            return None
        self._number += 1
        version = LeaseVersion(stamp, self._number)
        lent: dict[str, float] = {}
        for customer, fraction in wanted.items():
            free = self._find_free(customer, host, now)
            lendable = _round_down(min(fraction, free))
            if lendable >= _MIN_FRACTION:
                lent[customer] = lendable
                lease = _GivenLease(lendable, version, now + LEASE_S)
                self._find(customer).add(host, lease, now)
        return Loans(version, lent)

    def has_loans(self, host: str, now: float) -> bool:
        """Tell whether a host may use fractions of this host's parts."""
        return any(
            leases.list_lent(now).get(host)
            for leases in self._customers.values()
        )

    def find_own_fraction(self, customer: str, now: float) -> float:
        """Return the fraction of its part that this host uses itself."""
        free = self._find_free(customer, '', now)
        return free if free >= _MIN_FRACTION else 0

    def remaining_s(self, customer: str, now: float) -> float:
        """Return the time until the first lease ends, 0 without one.

        :return: seconds.
        """
        if self.is_unsure(now):
            return self.unknown_until - now
        return self._find(customer).find_first_end(now) - now

    def _find_stamp(self, host: str, now: float) -> float:
        stamp = self._stamps.get(host)
        if stamp is None or now - stamp.received_at > _MAX_STAMP_AGE_S:
            return NO_STAMP
        return stamp.at

    def _find_free(self, customer: str, host: str, now: float) -> float:
        """Return the fraction of a part that no other host may use."""
        if self.is_unsure(now):
            return 0
        lent = self._find(customer).list_lent(now)
        lent.pop(host, None)
        return max(0, 1 - sum(lent.values()))

    def _find(self, customer: str) -> _CustomerLeases:
        return self._customers.setdefault(customer, _CustomerLeases())


def _round_down(fraction: float) -> float:
    """Return a fraction that messages carry with few digits.

    >>> _round_down(0.12399)
    0.123
    """
    return math.floor(fraction * _FRACTION_STEPS) / _FRACTION_STEPS
