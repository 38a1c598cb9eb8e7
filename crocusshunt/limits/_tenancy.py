"""Tenancies of the hosts that lend customers' tokens."""

from dataclasses import dataclass, field

import msgspec

from crocusshunt.limits._drift import add_drift, subtract_drift
from crocusshunt.limits._lease import (
    ROW_LEASE_S,
    SUPPORT_S,
    LeaseRow,
    TokenLevel,
    has_majority,
)
from crocusshunt.limits._ledger import LendingTerm

_RENEWALS_A_LEASE = 4


@dataclass(frozen=True, slots=True)
class LeaseCandidate:
    """A process that may take a shard.

    :param host: name of its host.
    :param live: hosts that it believes to be there.
    :param is_home: True if it is the first choice for the shard.
    :param witnesses: whom it would choose.
    """

    host: str
    incarnation: str
    live: frozenset[str]
    is_home: bool
    witnesses: tuple[str, ...]


def may_acquire(row: LeaseRow | None, candidate: LeaseCandidate) -> bool:
    """Tell whether a candidate should take a shard over.

    :param row: the shard's row, None if there is none.
    """
    if row is not None and row.holder == candidate.host:
        return row.incarnation != candidate.incarnation
    is_free = row is None or row.holder not in candidate.live
    return candidate.is_home and is_free


def build_takeover_row(
    row: LeaseRow | None, candidate: LeaseCandidate
) -> LeaseRow:
    """Return the row with which a candidate takes a shard over.

    A released row has no holder to fence.
    """
    epoch = 1 if row is None else row.epoch + 1
    unfenced = () if row is None else row.unfenced
    if row is not None and row.holder:
        unfenced = (*unfenced, row.witnesses)
    return LeaseRow(
        candidate.host,
        candidate.incarnation,
        epoch,
        candidate.witnesses,
        unfenced,
    )


def build_witness_change_row(
    row: LeaseRow, witnesses: tuple[str, ...]
) -> LeaseRow:
    """Return the row with which a holder changes its witnesses.

    The old ones stay listed: the write may take effect while the holder,
    without an answer, still relies on them.
    """
    return LeaseRow(
        row.holder,
        row.incarnation,
        row.epoch + 1,
        witnesses,
        (row.witnesses,),
    )


def build_release_row(
    tenancy: 'HeldLease', levels: tuple[TokenLevel, ...]
) -> LeaseRow:
    """Return the row of a holder that has stopped lending.

    One that never began leaves the earlier holders to be fenced.
    """
    is_settled = tenancy.started_at is not None
    unfenced = () if is_settled else tenancy.row.unfenced
    return LeaseRow(
        '',
        '',
        tenancy.row.epoch + 1,
        (),
        unfenced,
        levels,
        tenancy.row.holder,
    )


@dataclass(slots=True)
class HeldLease:
    """What the holder of a row may do, as far as it knows itself.

    :param version: version of the row in the table service.
    :param acquired_at: monotonic time after the row was written, in seconds.
    :param row_until: monotonic time to which the row was renewed.
    :param supports: time to which each witness supports the holder.
    :param cleared: time from which each witness of an earlier holder has no
        support of that holder left.
    """

    row: LeaseRow
    version: int
    acquired_at: float
    row_until: float
    supports: dict[str, float] = field(default_factory=dict)
    cleared: dict[str, float] = field(default_factory=dict)
    started_at: float | None = None
    number: int = 0
    is_stale: bool = False
    is_releasing: bool = False

    def add_support(self, witness: str, asked_at: float) -> None:
        """Count support from before it was asked for."""
        until = asked_at + subtract_drift(SUPPORT_S)
        self.supports[witness] = max(until, self.supports.get(witness, until))

    def add_clearance(
        self,
        witness: str,
        received_at: float,
        wait_s: float,
    ) -> None:
        """Note when a witness' earlier support will be over."""
        self.cleared[witness] = received_at + add_drift(wait_s)

    def is_clear(self, now: float) -> bool:
        """Tell whether every earlier holder has certainly stopped.

        None can renew a row that has changed, so all have stopped when the
        longest lease of a row is over.
        """
        if now >= self.acquired_at + add_drift(ROW_LEASE_S):
            return True
        cleared = {host for host, at in self.cleared.items() if at <= now}
        return all(
            has_majority(witnesses, cleared) for witnesses in self.row.unfenced
        )

    def is_supported(self, until: float) -> bool:
        """Tell whether this holder alone may lend up to a time."""
        agreed = {host for host, at in self.supports.items() if at >= until}
        is_row_held = self.row_until >= until
        return is_row_held and has_majority(self.row.witnesses, agreed)

    def begin(self, now: float) -> bool:
        """Start the tenure once it is certain; return whether it runs."""
        if self.started_at is None and self.is_clear(now):
            self.started_at = now
            self.number = self.row.epoch
        return self.started_at is not None

    def is_renewal_due(self, now: float) -> bool:
        """Tell whether the row should be written again."""
        is_settled = self.started_at is not None
        if is_settled and self.row.unfenced:
            return True
        margin = ROW_LEASE_S - ROW_LEASE_S / _RENEWALS_A_LEASE
        return self.row_until < now + margin

    def build_renewal_row(self) -> LeaseRow:
        """Return the row to write, without fenced holders."""
        if self.started_at is None:
            return self.row
        return msgspec.structs.replace(self.row, unfenced=())

    def find_term(self, until: float) -> LendingTerm | None:
        """Return the tenure if it certainly lasts up to a time."""
        if self.started_at is None or self.is_releasing:
            return None
        if not self.is_supported(until):
            return None
        return LendingTerm(self.number, self.started_at)
