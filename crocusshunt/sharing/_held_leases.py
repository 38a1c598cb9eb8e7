"""Leases that a host has from others."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from crocusshunt.sharing._leases import (
    LEASE_S,
    NO_VERSION,
    WHOLE,
    LeasePart,
    LeaseVersion,
)


@dataclass(frozen=True, slots=True)
class _HeldLease:
    fraction: float
    version: LeaseVersion


@dataclass(slots=True)
class _Reading:
    """Leases of a version, of which not all messages may have come.

    :param has_shrunk: whether any of them is smaller than the one before.
    """

    version: LeaseVersion
    parts: set[int] = field(default_factory=set)
    has_shrunk: bool = False


@dataclass(slots=True)
class HeldLeases:
    """Leases that a borrower has, by customer and host.

    >>> held = HeldLeases()
    >>> held.keep('court', now=10)
    >>> held.accept('court', 'h2', stamp=11, now=11.5)
    >>> held.list_hosts('court', now=14), held.list_hosts('court', now=14.5)
    (['h2'], [])
    """

    _kept_since: dict[str, float] = field(default_factory=dict)
    _leases: dict[str, dict[str, _HeldLease]] = field(default_factory=dict)
    # Of the newest leases of each host, and of the newest that replaced all.
    _versions: dict[str, LeaseVersion] = field(default_factory=dict)
    _complete: dict[str, LeaseVersion] = field(default_factory=dict)
    _readings: dict[str, _Reading] = field(default_factory=dict)
    _dropped_at: dict[str, float] = field(default_factory=dict)

    @property
    def kept(self) -> tuple[str, ...]:
        """Return the customers whose bucket this host keeps."""
        return tuple(sorted(self._kept_since))

    def keep(self, customer: str, now: float) -> None:
        """Keep a customer's bucket from now on, if it is not kept yet."""
        self._kept_since.setdefault(customer, now)

    def release(self, customer: str) -> None:
        """Stop to keep a customer's bucket, and drop its leases."""
        self._kept_since.pop(customer, None)
        self._leases.pop(customer, None)

    def drop_host(self, host: str, now: float) -> None:
        """Drop the leases that a host gave before it was started again.

        Those that are still on their way name earlier stamps than this time
        of the clock.
        """
        for leases in self._leases.values():
            leases.pop(host, None)
        self._versions.pop(host, None)
        self._complete.pop(host, None)
        self._readings.pop(host, None)
        self._dropped_at[host] = now

    def accept(
        self, customer: str, host: str, stamp: float, now: float
    ) -> None:
        """Accept a lease of a whole part.

        It is ignored if the bucket was not kept at its stamp, or if the host
        has said something newer.

        :param stamp: time of this host's clock that the lease names.
        """
        version = LeaseVersion(stamp)
        if version < self._versions.get(host, NO_VERSION):
            return
        if self._is_valid(customer, host, stamp, now):
            self._versions[host] = version
            leases = self._leases.setdefault(customer, {})
            leases[host] = _HeldLease(1, version)

    def accept_all(
        self,
        host: str,
        version: LeaseVersion,
        fractions: Mapping[str, float],
        now: float,
        part: LeasePart = WHOLE,
    ) -> bool:
        """Accept leases of a host; return whether it has all, and any shrank.

        Once all messages of the version have come, they replace all that the
        host gave before.

        :param fractions: fraction of its part that it lends, by customer.
        :param part: place of the message that has these fractions.
        """
        if version.stamp > now:
            return False
        if version.stamp < self._dropped_at.get(host, version.stamp):
            return False
        reading = self._find_reading(host, version)
        if reading is None or part.number in reading.parts:
            return False
        reading.parts.add(part.number)
        for lent, fraction in fractions.items():
            if self._is_valid(lent, host, version.stamp, now):
                self._put(lent, host, fraction, reading)
        if len(reading.parts) < part.parts:
            return False
        self._drop_older(host, reading)
        self._complete[host] = version
        return reading.has_shrunk

    def find_complete_version(self, host: str) -> LeaseVersion:
        """Return the version of the leases that replaced all of a host's.

        No earlier lease of that host is used here any more.
        """
        return self._complete.get(host, NO_VERSION)

    def list_hosts(self, customer: str, now: float) -> list[str]:
        """Return the hosts whose leases have not ended, sorted."""
        return sorted(self._find_fractions(customer, now))

    def sum_fractions(
        self, customer: str, hosts: Collection[str], now: float
    ) -> float:
        """Return how many parts some hosts lend to this one."""
        fractions = self._find_fractions(customer, now)
        return sum(fractions[host] for host in fractions.keys() & hosts)

    def _find_fractions(self, customer: str, now: float) -> dict[str, float]:
        return {
            host: lease.fraction
            for host, lease in self._leases.get(customer, {}).items()
            if lease.fraction and now < lease.version.stamp + LEASE_S
        }

    def _find_reading(
        self, host: str, version: LeaseVersion
    ) -> _Reading | None:
        """Return the reading of a version, None if that is not the newest."""
        newest = self._versions.get(host, NO_VERSION)
        if version > newest:
            self._versions[host] = version
            self._readings[host] = _Reading(version)
        elif version != newest:
            return None
        reading = self._readings.get(host)
        if reading is None or reading.version != version:
            return None
        return reading

    def _put(
        self, customer: str, host: str, fraction: float, reading: _Reading
    ) -> None:
        leases = self._leases.setdefault(customer, {})
        known = leases.get(host)
        if known is not None and fraction < known.fraction:
            reading.has_shrunk = True
        leases[host] = _HeldLease(fraction, reading.version)

    def _drop_older(self, host: str, reading: _Reading) -> None:
        """Drop the leases of a host that a newer version does not name."""
        for leases in self._leases.values():
            known = leases.get(host)
            if known is not None and known.version < reading.version:
                leases.pop(host)
                reading.has_shrunk |= known.fraction > 0

    def _is_valid(
        self, customer: str, host: str, stamp: float, now: float
    ) -> bool:
        since = self._kept_since.get(customer)
        if since is None or not since <= stamp <= now:
            return False
        return stamp >= self._dropped_at.get(host, stamp)
