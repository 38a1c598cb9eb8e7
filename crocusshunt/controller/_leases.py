"""The leases that this host holds, and their rows."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from crocusshunt.controller._directory import Directory
from crocusshunt.controller._witnessing import LEASE_TABLE
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

Measure = Callable[[str, LendingTerm], tuple[TokenLevel, ...]]


class LeaseManager:
    """Takes, renews and releases the leases of shards.

    It writes a row only to take a shard over, to change its witnesses, to
    release it, and once in an hour; while the store is down the witnesses'
    support is enough.
    """

    def __init__(
        self,
        identity: HostIdentity,
        incarnation: str,
        directory: Directory,
        tables: TableStore,
        clock: Clock,
    ) -> None:
        """Start without leases.

        :param incarnation: identifies this process.
        """
        self.tenancies: dict[str, HeldLease] = {}
        self.inherited: dict[str, tuple[TokenLevel, ...]] = {}
        self._identity = identity
        self._incarnation = incarnation
        self._directory = directory
        self._tables = tables
        self._clock = clock
        self._rows: dict[str, LeaseRow] = {}

    def find_term(self, shard: str) -> LendingTerm | None:
        """Return the tenure in which this host may lend now.

        It lasts longer than the loan that is about to be made.
        """
        tenancy = self.tenancies.get(shard)
        if tenancy is None:
            return None
        until = self._clock.monotonic() + add_drift(LOAN_LIFETIME_S)
        return tenancy.find_term(until)

    def find_holder(self, shard: str) -> str | None:
        """Return the other live host that the row last read names."""
        row = self._rows.get(shard)
        if row is None or row.holder == self._identity.name:
            return None
        return row.holder if row.holder in self._directory.find_live() else None

    async def advance(self, shard: str) -> Result[None, StoreError]:
        """Do what a shard's row needs next."""
        tenancy = self.tenancies.get(shard)
        if tenancy is None or tenancy.is_stale:
            return await self._review(shard)
        now = self._clock.monotonic()
        if self._directory.is_displaced(shard):
            return Ok(None)
        missing = set(tenancy.row.witnesses) - set(self._directory.find_live())
        if missing and tenancy.started_at is not None:
            witnesses = self._directory.choose_witnesses(shard)
            row = build_witness_change_row(tenancy.row, witnesses)
            return await self._write(shard, row)
        if tenancy.is_releasing or tenancy.is_renewal_due(now):
            # A release without an answer can take effect no more after this.
            return await self._write(shard, tenancy.build_renewal_row())
        return Ok(None)

    def find_displaced(self) -> tuple[str, ...]:
        """Return the shards that should pass to another host by now."""
        return tuple(
            shard
            for shard in self.tenancies
            if self._directory.is_displaced(shard)
        )

    async def hand_over(
        self,
        shard: str,
        measure: Measure,
    ) -> Result[None, StoreError]:
        """Stop lending, wait until all loans are over, release the shard.

        :param measure: returns the tokens that are left.
        """
        reachable = await self._tables.read(LEASE_TABLE, shard)
        if isinstance(reachable, Err):
            return reachable
        tenancy = self.tenancies[shard]
        tenure = self.find_term(shard)
        tenancy.is_releasing = True
        levels: tuple[TokenLevel, ...] = ()
        if tenure is not None:
            await asyncio.sleep(add_drift(LOAN_LIFETIME_S))
            levels = measure(shard, tenure)
        written = await self._write(shard, build_release_row(tenancy, levels))
        if isinstance(written, Ok):
            self.tenancies.pop(shard, None)
        return written

    async def _review(self, shard: str) -> Result[None, StoreError]:
        asked_at = self._clock.monotonic()
        found = await self._tables.read(LEASE_TABLE, shard)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        row = decode_lease(stored.body) if stored else None
        version = stored.version if stored else ABSENT
        if row is not None:
            self._rows[shard] = row
        if row is not None and row.incarnation == self._incarnation:
            self._adopt(shard, row, version, asked_at)
            return Ok(None)
        self.tenancies.pop(shard, None)
        candidate = self._describe(shard, row)
        if not may_acquire(row, candidate):
            return Ok(None)
        return await self._acquire(shard, row, version)

    def _adopt(
        self,
        shard: str,
        row: LeaseRow,
        version: int,
        asked_at: float,
    ) -> None:
        # When the write took effect is unknown, so its lease counts nothing.
        tenancy = self.tenancies.get(shard)
        if tenancy is None:
            tenancy = HeldLease(row, version, self._clock.monotonic(), 0)
            self.tenancies[shard] = tenancy
        tenancy.row = row
        tenancy.version = version
        tenancy.is_stale = False

    async def _acquire(
        self,
        shard: str,
        before: LeaseRow | None,
        version: int,
    ) -> Result[None, StoreError]:
        row = build_takeover_row(before, self._describe(shard, before))
        asked_at = self._clock.monotonic()
        written = await self._put(shard, row, version)
        if isinstance(written, Ok):
            self._rows[shard] = row
            self.inherited[shard] = before.levels if before else ()
            self.tenancies[shard] = HeldLease(
                row,
                version + 1,
                self._clock.monotonic(),
                asked_at + subtract_drift(ROW_LEASE_S),
            )
        return written

    async def _write(
        self,
        shard: str,
        row: LeaseRow,
    ) -> Result[None, StoreError]:
        tenancy = self.tenancies[shard]
        asked_at = self._clock.monotonic()
        written = await self._put(shard, row, tenancy.version)
        if isinstance(written, Err):
            tenancy.is_stale = True
            return written
        tenancy.row = row
        tenancy.version += 1
        tenancy.is_releasing = False
        tenancy.row_until = asked_at + subtract_drift(ROW_LEASE_S)
        self._rows[shard] = row
        return written

    async def _put(
        self,
        shard: str,
        row: LeaseRow,
        version: int,
    ) -> Result[None, StoreError]:
        write = Write(LEASE_TABLE, shard, encode_lease(row), version)
        return await self._tables.transact((write,))

    def _describe(self, shard: str, row: LeaseRow | None) -> LeaseCandidate:
        released_by = '' if row is None else row.released_by
        home = self._directory.find_home(shard, released_by)
        return LeaseCandidate(
            self._identity.name,
            self._incarnation,
            frozenset(self._directory.find_live()),
            home == self._identity.name,
            self._directory.choose_witnesses(shard),
        )
