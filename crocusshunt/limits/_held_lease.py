"""Life cycle of a shard's lease, as its holder sees it."""

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

_RENEWALS_PER_LEASE = 4


@dataclass(frozen=True, slots=True)
class LeaseCandidate:
    """A process that may acquire the lease of a shard.

    :param host: name of its host.
    :param incarnation: identifies the process.
    :param live: hosts that it believes to be alive.
    :param is_home: whether its host is the first choice for the shard.
    :param witnesses: witnesses that it would use.
    """

    host: str
    incarnation: str
    live: frozenset[str]
    is_home: bool
    witnesses: tuple[str, ...]


def may_acquire(row: LeaseRow | None, candidate: LeaseCandidate) -> bool:
    """Tell whether a candidate should acquire the lease of a shard.

    The shard's home acquires it if no live host holds it. A restarted process
    acquires the lease of its predecessor on the same host.

    :param row: the stored row of the shard, None if there is none.
    """
    if row is not None and row.holder == candidate.host:
        return row.incarnation != candidate.incarnation
    is_free = row is None or row.holder not in candidate.live
    return candidate.is_home and is_free


def build_takeover_row(
    row: LeaseRow | None, candidate: LeaseCandidate
) -> LeaseRow:
    """Return the row with which a candidate acquires a lease.

    The witnesses of the previous holder are added to those to be fenced; a
    released lease has no holder to fence.
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

    The old ones are listed as unfenced: the write may take effect while the
    holder, having got no response, still relies on them.
    """
    return LeaseRow(
        row.holder,
        row.incarnation,
        row.epoch + 1,
        witnesses,
        (row.witnesses,),
    )


def build_release_row(
    lease: 'HeldLease', levels: tuple[TokenLevel, ...]
) -> LeaseRow:
    """Return the row with which a holder that stopped lending releases.

    If its term never began, earlier holders remain to be fenced.

    :param levels: tokens left in the buckets of the shard's customers.
    """
    is_started = lease.started_at is not None
    unfenced = () if is_started else lease.row.unfenced
    return LeaseRow(
        '',
        '',
        lease.row.epoch + 1,
        (),
        unfenced,
        levels,
        lease.row.holder,
    )


@dataclass(slots=True)
class HeldLease:
    """State of a lease in the process that holds it.

    The term, in which this process may lend, begins when all earlier holders
    are certainly fenced. It lasts while the stored row is renewed and a
    majority of the witnesses supports the holder. All times are monotonic, in
    seconds.

    :param version: version of the stored row.
    :param acquired_at: time after the row was written.
    :param row_until: time to which the row was renewed.
    :param supports: time to which each witness supports the holder.
    :param cleared: time at which the support that each witness of an earlier
        holder gave to that holder has ended.
    :param started_at: time at which the term began, None before.
    :param number: number of the term, the row's epoch at its beginning.
    :param is_stale: whether a write failed, so that the stored row must be read
        again.
    :param is_releasing: whether the holder has stopped lending to release the
        lease.
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
        """Record support of a witness, counted from the time of the request."""
        until = asked_at + subtract_drift(SUPPORT_S)
        self.supports[witness] = max(until, self.supports.get(witness, until))

    def add_clearance(
        self,
        witness: str,
        received_at: float,
        wait_s: float,
    ) -> None:
        """Record that a witness no longer supports an earlier holder.

        :param received_at: time at which the witness' response arrived.
        :param wait_s: seconds until its earlier support ends.
        """
        self.cleared[witness] = received_at + add_drift(wait_s)

    def has_fenced_earlier_holders(self, now: float) -> bool:
        """Tell whether every earlier holder has certainly stopped lending.

        An earlier holder has stopped when a majority of its witnesses no
        longer supports it. No holder can renew a row that has changed, so all
        have stopped one row lease after the row was acquired.
        """
        if now >= self.acquired_at + add_drift(ROW_LEASE_S):
            return True
        cleared = {host for host, at in self.cleared.items() if at <= now}
        return all(
            has_majority(witnesses, cleared) for witnesses in self.row.unfenced
        )

    def is_supported(self, until: float) -> bool:
        """Tell whether only this holder may lend until a time.

        It may while its row is renewed and a majority of the witnesses
        supports it.
        """
        agreed = {host for host, at in self.supports.items() if at >= until}
        is_row_held = self.row_until >= until
        return is_row_held and has_majority(self.row.witnesses, agreed)

    def begin(self, now: float) -> bool:
        """Begin the term once earlier holders are fenced.

        Return whether the term has begun.
        """
        if self.started_at is None and self.has_fenced_earlier_holders(now):
            self.started_at = now
            self.number = self.row.epoch
        return self.started_at is not None

    def is_renewal_due(self, now: float) -> bool:
        """Tell whether the row should be written again.

        It is once the term has begun, to remove fenced holders, and each time
        a quarter of the row lease has passed.
        """
        is_started = self.started_at is not None
        if is_started and self.row.unfenced:
            return True
        margin = ROW_LEASE_S - ROW_LEASE_S / _RENEWALS_PER_LEASE
        return self.row_until < now + margin

    def build_renewal_row(self) -> LeaseRow:
        """Return the row to write, without earlier holders once fenced."""
        if self.started_at is None:
            return self.row
        return msgspec.structs.replace(self.row, unfenced=())

    def find_term(self, until: float) -> LendingTerm | None:
        """Return the term if it certainly lasts until a time, else None."""
        if self.started_at is None or self.is_releasing:
            return None
        if not self.is_supported(until):
            return None
        return LendingTerm(self.number, self.started_at)
