"""The leases that this host holds, and their rows in the table service."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from crocusshunt.controller._shard_directory import ShardDirectory
from crocusshunt.controller._witness_handler import LEASE_TABLE
from crocusshunt.core import Clock, HostIdentity
from crocusshunt.limits import (
    LOAN_LIFETIME_S,
    ROW_LEASE_S,
    HeldLease,
    LeaseCandidate,
    LeaseRow,
    LendingTerm,
    TokenLevel,
    add_drift,
    build_release_row,
    build_takeover_row,
    build_witness_change_row,
    decode_lease,
    encode_lease,
    may_acquire,
    subtract_drift,
)
from crocusshunt.store import ABSENT, StoreError, TableStore, Write

MeasureLevels = Callable[[str, LendingTerm], tuple[TokenLevel, ...]]


class LeaseManager:
    """Takes, renews and releases the leases of shards.

    It writes a row only to take a shard over, to change its witnesses, to
    release it, and once in an hour to renew it. While the store is down, the
    support of the witnesses is enough to go on lending.

    :ivar held_leases: the lease of each shard that this host holds.
    :ivar inherited_levels: tokens that the previous holder of each shard left
        in its row, until they are put into the ledger.
    """

    def __init__(
        self,
        identity: HostIdentity,
        incarnation: str,
        directory: ShardDirectory,
        tables: TableStore,
        clock: Clock,
    ) -> None:
        """Start without leases.

        :param incarnation: identifies this process.
        """
        self.held_leases: dict[str, HeldLease] = {}
        self.inherited_levels: dict[str, tuple[TokenLevel, ...]] = {}
        self._identity = identity
        self._incarnation = incarnation
        self._directory = directory
        self._tables = tables
        self._clock = clock
        self._rows: dict[str, LeaseRow] = {}

    def find_term(self, shard: str) -> LendingTerm | None:
        """Return the lending term of a shard, None if this host may not lend.

        The term certainly outlasts a loan made now.
        """
        held_lease = self.held_leases.get(shard)
        if held_lease is None:
            return None
        until = self._clock.monotonic() + add_drift(LOAN_LIFETIME_S)
        return held_lease.find_term(until)

    def find_holder(self, shard: str) -> str | None:
        """Return the holder named by the row last read or written.

        None if that is this host, or a host not believed to be live.
        """
        row = self._rows.get(shard)
        if row is None or row.holder == self._identity.name:
            return None
        return row.holder if row.holder in self._directory.find_live() else None

    async def maintain(self, shard: str) -> Result[None, StoreError]:
        """Acquire a shard's lease or renew it, as its row requires.

        A lease that is absent or out of date is read again first. Missing
        witnesses are replaced. A lease about to be handed over is left as it
        is.
        """
        held_lease = self.held_leases.get(shard)
        if held_lease is None or held_lease.is_stale:
            return await self._read_and_acquire(shard)
        now = self._clock.monotonic()
        if self._directory.is_displaced(shard):
            return Ok(None)
        if held_lease.started_at is not None and self._lacks_witness(
            held_lease
        ):
            # While no host is live the old witnesses stay: without any, no
            # majority could ever support the lease.
            witnesses = self._directory.choose_witnesses(shard)
            if witnesses:
                row = build_witness_change_row(held_lease.row, witnesses)
                return await self._update_row(shard, row)
        if held_lease.is_releasing or held_lease.is_renewal_due(now):
            # This write changes the version of the row, so a release whose
            # answer was lost can no longer take effect.
            return await self._update_row(shard, held_lease.build_renewal_row())
        return Ok(None)

    def find_displaced(self) -> tuple[str, ...]:
        """Return the held shards that have had another home for long enough."""
        return tuple(
            shard
            for shard in self.held_leases
            if self._directory.is_displaced(shard)
        )

    async def hand_over(
        self,
        shard: str,
        measure_levels: MeasureLevels,
    ) -> Result[None, StoreError]:
        """Stop lending, wait until all loans are over, release the shard.

        The store is read first, so that lending goes on if the store is down
        and the release could not be written.

        :param measure_levels: returns the tokens that are left.
        """
        store_check = await self._tables.read(LEASE_TABLE, shard)
        if isinstance(store_check, Err):
            return store_check
        held_lease = self.held_leases[shard]
        term = self.find_term(shard)
        held_lease.is_releasing = True
        levels: tuple[TokenLevel, ...] = ()
        if term is not None:
            await asyncio.sleep(add_drift(LOAN_LIFETIME_S))
            levels = measure_levels(shard, term)
        written = await self._update_row(
            shard, build_release_row(held_lease, levels)
        )
        if isinstance(written, Ok):
            self.held_leases.pop(shard, None)
        return written

    def _lacks_witness(self, held_lease: HeldLease) -> bool:
        """Tell whether a lease has no witnesses, or one that is not live."""
        witnesses = set(held_lease.row.witnesses)
        return not witnesses or bool(
            witnesses - set(self._directory.find_live())
        )

    async def _read_and_acquire(self, shard: str) -> Result[None, StoreError]:
        requested_at = self._clock.monotonic()
        read_outcome = await self._tables.read(LEASE_TABLE, shard)
        if isinstance(read_outcome, Err):
            return read_outcome
        stored = read_outcome.ok_value
        row = decode_lease(stored.body) if stored else None
        version = stored.version if stored else ABSENT
        if row is not None:
            self._rows[shard] = row
        if row is not None and row.incarnation == self._incarnation:
            self._adopt_row(shard, row, version, requested_at)
            return Ok(None)
        self.held_leases.pop(shard, None)
        candidate = self._create_candidate(shard, row)
        if not may_acquire(row, candidate):
            return Ok(None)
        return await self._acquire(shard, row, version)

    def _adopt_row(
        self,
        shard: str,
        row: LeaseRow,
        version: int,
        requested_at: float,
    ) -> None:
        # The answer to the write was lost, so it is unknown when the write took
        # effect: the lease time that it grants is not counted.
        held_lease = self.held_leases.get(shard)
        if held_lease is None:
            held_lease = HeldLease(row, version, self._clock.monotonic(), 0)
            self.held_leases[shard] = held_lease
        held_lease.row = row
        held_lease.version = version
        held_lease.is_stale = False

    async def _acquire(
        self,
        shard: str,
        previous: LeaseRow | None,
        version: int,
    ) -> Result[None, StoreError]:
        row = build_takeover_row(
            previous, self._create_candidate(shard, previous)
        )
        requested_at = self._clock.monotonic()
        written = await self._store_row(shard, row, version)
        if isinstance(written, Ok):
            self._rows[shard] = row
            self.inherited_levels[shard] = previous.levels if previous else ()
            self.held_leases[shard] = HeldLease(
                row,
                version + 1,
                self._clock.monotonic(),
                requested_at + subtract_drift(ROW_LEASE_S),
            )
        return written

    async def _update_row(
        self,
        shard: str,
        row: LeaseRow,
    ) -> Result[None, StoreError]:
        held_lease = self.held_leases[shard]
        requested_at = self._clock.monotonic()
        written = await self._store_row(shard, row, held_lease.version)
        if isinstance(written, Err):
            held_lease.is_stale = True
            return written
        held_lease.row = row
        held_lease.version += 1
        held_lease.is_releasing = False
        held_lease.row_until = requested_at + subtract_drift(ROW_LEASE_S)
        self._rows[shard] = row
        return written

    async def _store_row(
        self,
        shard: str,
        row: LeaseRow,
        version: int,
    ) -> Result[None, StoreError]:
        write = Write(LEASE_TABLE, shard, encode_lease(row), version)
        return await self._tables.transact((write,))

    def _create_candidate(
        self, shard: str, row: LeaseRow | None
    ) -> LeaseCandidate:
        released_by = '' if row is None else row.released_by
        home = self._directory.find_home(shard, released_by)
        return LeaseCandidate(
            self._identity.name,
            self._incarnation,
            frozenset(self._directory.find_live()),
            home == self._identity.name,
            self._directory.choose_witnesses(shard),
        )
