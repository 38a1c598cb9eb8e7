"""The part of a controller that acts as a witness of leases."""

from result import Ok

from crocusshunt.core import Clock
from crocusshunt.limits import Witness, decode_lease
from crocusshunt.messages import (
    FencedLease,
    LeaseEpoch,
    LeasesRenewed,
    RenewLeases,
)
from crocusshunt.store import TableStore

LEASE_TABLE = 'token-leases'


class WitnessHandler:
    """Supports the holders of leases and fences earlier holders.

    It reads a shard's row from the store before it first supports a holder.
    """

    def __init__(self, tables: TableStore, clock: Clock) -> None:
        """Start without knowledge of any shard."""
        self._tables = tables
        self._clock = clock
        self._witness = Witness(clock.monotonic())

    async def answer(self, request: RenewLeases) -> LeasesRenewed:
        """Return the leases supported and those whose holders are fenced."""
        for claimed in request.supports:
            if self._witness.is_row_needed(claimed.shard):
                await self._read_row(claimed.shard)
        now = self._clock.monotonic()
        supported = tuple(
            lease.shard
            for lease in request.supports
            if self._witness.support(lease.shard, lease.epoch, now)
        )
        return LeasesRenewed(supported, self._fence(request.fences))

    def _fence(self, leases: tuple[LeaseEpoch, ...]) -> tuple[FencedLease, ...]:
        now = self._clock.monotonic()
        waits = {
            lease.shard: self._witness.fence(lease.shard, lease.epoch, now)
            for lease in leases
        }
        return tuple(
            FencedLease(shard, wait_s)
            for shard, wait_s in waits.items()
            if wait_s is not None
        )

    async def _read_row(self, shard: str) -> None:
        found = await self._tables.read(LEASE_TABLE, shard)
        if isinstance(found, Ok) and found.ok_value is not None:
            row = decode_lease(found.ok_value.body)
            if row is not None:
                self._witness.record_epoch(shard, row.epoch)
