"""Quarantine of requests that crash servers, shared between hosts."""

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

_MAX_TRIES = 4


class SuspectRegistry:
    """Requests suspected of crashing backend servers.

    Each suspicion is a row in the table service, which every host reads
    once per poll period. A caller is told that a server went away during
    its request only after every host had time to read the suspicion, so
    that its next try meets the same count of crashes at any host.
    """

    def __init__(self, store: TableStore, clock: Clock) -> None:
        """Start without suspicions."""
        self._store = store
        self._clock = clock
        self._ledger = QuarantineLedger(QuarantineSettings())

    async def run(self) -> None:
        """Read the suspicions of other hosts once per poll period."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_S)

    async def poll(self) -> None:
        """Read the suspicions of other hosts once, and drop expired ones."""
        now = self._clock.wall()
        self._ledger.expire(now)
        after = ''
        while True:
            page = Query(QUARANTINE_TABLE, after)
            found = await self._store.query(page)
            if isinstance(found, Err):
                return
            for row in found.ok_value:
                await self._merge_or_remove(row, now)
                after = row.key
            if len(found.ok_value) < page.limit:
                return

    def has_suspects(self, customer: str) -> bool:
        """Tell whether a customer's requests must be checked by fingerprint."""
        return self._ledger.has_suspects(customer, self._clock.wall())

    def check(self, customer: str, fingerprint: str) -> NotRun | None:
        """Return a refusal if the request is quarantined, else None."""
        return self._ledger.check(customer, fingerprint, self._clock.wall())

    def note_loss(
        self,
        customer: str,
        fingerprint: str,
        loss: str,
    ) -> CrashSuspicion:
        """Count a server that went away during a request, on this host.

        :param loss: unique identifier of the loss: server and request.
        """
        now = self._clock.wall()
        return self._ledger.note_loss(customer, fingerprint, loss, now)

    async def forget(self, customer: str, fingerprint: str) -> None:
        """Drop the suspicion of a request that was answered."""
        if self._ledger.forget(customer, fingerprint):
            key = f'{customer}/{fingerprint}'
            await self._store.transact((Write(QUARANTINE_TABLE, key, None),))

    async def share(self, suspicion: CrashSuspicion) -> None:
        """Store a suspicion and wait until other hosts had time to read it.

        The wait is two poll periods.
        """
        expected = ABSENT
        for _ in range(_MAX_TRIES):
            body = msgspec.json.encode(suspicion).decode()
            write = Write(QUARANTINE_TABLE, suspicion.row_key, body, expected)
            written = await self._store.transact((write,))
            if isinstance(written, Ok):
                break
            if not isinstance(written.err_value, StoreConflictError):
                return
            row = await self._store.read(QUARANTINE_TABLE, suspicion.row_key)
            if isinstance(row, Err):
                return
            expected = row.ok_value.version if row.ok_value else ABSENT
            suspicion = self._merge(suspicion, row.ok_value)
        await asyncio.sleep(POLL_S * 2)

    def _merge(
        self, suspicion: CrashSuspicion, row: StoredRow | None
    ) -> CrashSuspicion:
        if row is None:
            return suspicion
        return self._ledger.merge(_decode(row), self._clock.wall())

    async def _merge_or_remove(self, row: StoredRow, now: float) -> None:
        suspicion = _decode(row)
        if now < suspicion.expires_at:
            self._ledger.merge(suspicion, now)
        else:
            await self._remove(row)

    async def _remove(self, row: StoredRow) -> None:
        write = Write(QUARANTINE_TABLE, row.key, None, row.version)
        await self._store.transact((write,))


def _decode(row: StoredRow) -> CrashSuspicion:
    return msgspec.json.decode(row.body, type=CrashSuspicion)
