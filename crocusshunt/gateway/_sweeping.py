"""Removal of expired claims of idempotency keys."""

import asyncio

import msgspec
from result import Err

from crocusshunt.core import Clock
from crocusshunt.delivery import Claim
from crocusshunt.gateway._claiming import CLAIM_LIFETIME_S, CLAIM_TABLE
from crocusshunt.store import Query, StoredRow, TableStore, Write

_PERIOD_S = 10
_PAGE_ROWS = 500


class ClaimSweeper:
    """Reads the table of claims page by page and removes expired ones.

    A claim is removed no earlier than a whole claim lifetime after it
    expired, when nothing that its holder sent can still be in transit.
    """

    def __init__(self, store: TableStore, clock: Clock) -> None:
        """Start at the first row of the table."""
        self._store = store
        self._clock = clock
        self._after = ''

    async def run(self) -> None:
        """Sweep one page per period."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Remove the expired claims of the next page."""
        page = Query(CLAIM_TABLE, self._after, _PAGE_ROWS)
        found = await self._store.query(page)
        if isinstance(found, Err):
            return
        rows = found.ok_value
        self._after = rows[-1].key if len(rows) == _PAGE_ROWS else ''
        writes = tuple(
            Write(CLAIM_TABLE, row.key, None, row.version)
            for row in rows
            if self._is_removable(row)
        )
        if writes:
            await self._store.transact(writes)

    def _is_removable(self, row: StoredRow) -> bool:
        claim = msgspec.json.decode(row.body, type=Claim)
        return self._clock.wall() > claim.expires_at + CLAIM_LIFETIME_S
