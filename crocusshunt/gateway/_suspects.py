"""Quarantine shared between hosts through the table service."""

import asyncio

import msgspec
from result import Err, Ok

from crocusshunt.core import Clock
from crocusshunt.delivery import (
    CrashSuspicion,
    NotRun,
    QuarantineLedger,
    QuarantineSettings,
)
from crocusshunt.store import (
    ABSENT,
    Query,
    StoreConflictError,
    StoredRow,
    TableStore,
    Write,
)

QUARANTINE_TABLE = 'quarantine'
POLL_S = 1

_TRIES = 4


class SuspectRegistry:
    """Suspicions of this host and, a poll later, of all hosts.

    A caller learns that its request lost a server only after every host
    had time to learn it too, so that its next try meets the same count
    wherever it arrives.
    """

    def __init__(self, store: TableStore, clock: Clock) -> None:
        """Start without suspicions."""
        self._store = store
        self._clock = clock
        self._ledger = QuarantineLedger(QuarantineSettings())

    async def run(self) -> None:
        """Read the suspicions of other hosts again and again."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_S)

    async def poll(self) -> None:
        """Read the suspicions of other hosts once."""
        now = self._clock.wall()
        self._ledger.expire(now)
        after = ''
        while True:
            page = Query(QUARANTINE_TABLE, after)
            found = await self._store.query(page)
            if isinstance(found, Err):
                return
            for row in found.ok_value:
                await self._take_in(row, now)
                after = row.key
            if len(found.ok_value) < page.limit:
                return

    def has_suspects(self, customer: str) -> bool:
        """Tell whether a customer's requests need a fingerprint."""
        return self._ledger.has_suspects(customer, self._clock.wall())

    def check(self, customer: str, fingerprint: str) -> NotRun | None:
        """Refuse a quarantined request."""
        return self._ledger.check(customer, fingerprint, self._clock.wall())

    def note_loss(
        self,
        customer: str,
        fingerprint: str,
        loss: str,
    ) -> CrashSuspicion:
        """Count a server lost to a request, on this host.

        :param loss: the server and the attempt, unique.
        """
        now = self._clock.wall()
        return self._ledger.note_loss(customer, fingerprint, loss, now)

    async def forget(self, customer: str, fingerprint: str) -> None:
        """Drop the suspicion of a request that ran well."""
        if self._ledger.forget(customer, fingerprint):
            key = f'{customer}/{fingerprint}'
            await self._store.transact((Write(QUARANTINE_TABLE, key, None),))

    async def share(self, lost: CrashSuspicion) -> None:
        """Tell the other hosts, and wait until they had time to read it."""
        expected = ABSENT
        for _ in range(_TRIES):
            body = msgspec.json.encode(lost).decode()
            write = Write(QUARANTINE_TABLE, lost.row_key, body, expected)
            written = await self._store.transact((write,))
            if isinstance(written, Ok):
                break
            if not isinstance(written.err_value, StoreConflictError):
                return
            row = await self._store.read(QUARANTINE_TABLE, lost.row_key)
            if isinstance(row, Err):
                return
            expected = row.ok_value.version if row.ok_value else ABSENT
            lost = self._merge(lost, row.ok_value)
        await asyncio.sleep(POLL_S * 2)

    def _merge(
        self, lost: CrashSuspicion, row: StoredRow | None
    ) -> CrashSuspicion:
        if row is None:
            return lost
        return self._ledger.merge(_decode(row), self._clock.wall())

    async def _take_in(self, row: StoredRow, now: float) -> None:
        seen = _decode(row)
        if now < seen.expires_at:
            self._ledger.merge(seen, now)
        else:
            await self._remove(row)

    async def _remove(self, row: StoredRow) -> None:
        write = Write(QUARANTINE_TABLE, row.key, None, row.version)
        await self._store.transact((write,))


def _decode(row: StoredRow) -> CrashSuspicion:
    return msgspec.json.decode(row.body, type=CrashSuspicion)
