"""Crashes under requests, kept in the store while all hosts may end."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok

from crocusshunt.core import Clock, rank_by_rendezvous
from crocusshunt.crashes import (
    CrashSettings,
    RecordKeeping,
    create_records,
    decode_record,
    encode_record,
    report_records,
)
from crocusshunt.feeds import (
    MAX_WRITE_COUNT,
    FeedStore,
    Row,
    RowWrite,
    find_era,
)
from crocusshunt.front._crash_watch import CrashWatch
from crocusshunt.front._followers import Followers
from crocusshunt.logs import log_event

_CHECK_INTERVAL_S = 0.2
_RETRY_PAUSE_S = 0.5
# A store that answers other calls but not this one keeps no host from work.
_MAX_READ_COUNT = 4


@dataclass(slots=True)
class CrashRecords:
    """Writes crashes into a table, which each host reads when it starts.

    There is one row for each crash, so hosts that write at the same time don't
    undo each other's work, and rows may be written again. All crashes under a
    request are kept by the hosts that saw one of them, and by the host that
    rendezvous hashing names.

    ``cause`` is the error of the last read, empty if there was none.

    :param table: name of the table.
    """

    table: str
    store: FeedStore
    watch: CrashWatch
    followers: Followers
    clock: Clock
    keeping: RecordKeeping = field(default_factory=RecordKeeping)
    cause: str = ''
    _failed_reads: int = 0
    _is_read: bool = False
    _era: int = 0

    @property
    def is_known(self) -> bool:
        """Tell whether this host knows what earlier ones wrote.

        If the store fails altogether, those that gave it their tables told.
        """
        return self._is_read or self._failed_reads >= _MAX_READ_COUNT

    async def run(self) -> None:
        """Read the table, then keep it up to date, until cancelled."""
        while not await self.read():
            await asyncio.sleep(_RETRY_PAUSE_S)
        while True:
            has_failed = not await self.write_changes()
            await asyncio.sleep(
                _RETRY_PAUSE_S if has_failed else _CHECK_INTERVAL_S
            )

    async def read(self) -> bool:
        """Take over what the table has; return whether the store answered."""
        answer = await self.store.read_table(self.table)
        if isinstance(answer, Err):
            self._note_failed_read()
            self.cause = str(answer.err_value)
            log_event('crash records not read', cause=self.cause)
            return False
        self._era = find_era(answer.ok_value.version)
        self._take_over(answer.ok_value.rows)
        self._is_read = True
        return True

    async def write_changes(self) -> bool:
        """Write and remove rows if needed; return whether the store did so."""
        self._update()
        changes = self.keeping.plan(MAX_WRITE_COUNT)
        if not changes.count:
            return True
        writes = [
            RowWrite(self.table, record.key, encode_record(record))
            for record in changes.writes
        ]
        writes.extend(RowWrite(self.table, key) for key in changes.removals)
        done = await self.store.write(*writes)
        if isinstance(done, Err):
            log_event('crash records not written', cause=str(done.err_value))
            return False
        self.keeping.note_done(changes)
        log_event(
            'crash records written',
            added=len(changes.writes),
            removed=len(changes.removals),
        )
        return True

    def _note_failed_read(self) -> None:
        if not self.followers.is_failing():
            self._failed_reads += 1
        elif self.followers.servers.image.is_known:
            self._failed_reads = _MAX_READ_COUNT

    def _take_over(self, rows: Iterable[Row]) -> None:
        """Count crashes that earlier processes wrote down."""
        records = []
        for row in rows:
            decoded = decode_record(row.key, row.content)
            if isinstance(decoded, Ok):
                records.append(decoded.ok_value)
                continue
            log_event(
                'crash record ignored',
                logging.WARNING,
                cause=str(decoded.err_value),
            )
        if not records:
            return
        log_event('crash records read', crashes=len(records))
        self.keeping.note_read(record.key for record in records)
        reports = report_records(records, self.clock.wall(), CrashSettings())
        now = self.clock.monotonic()
        self.watch.merge(reports, now, passes_on=False)

    def _update(self) -> None:
        """Find the crashes that are to last, and those that are kept here."""
        self._note_era(find_era(self.followers.hosts.image.version))
        now = self.clock.monotonic()
        isolated = self.watch.isolation.isolation.list_isolated(now)
        lasting = self.watch.ledger.select_lasting(isolated)
        records = create_records(lasting, self.clock.wall() - now)
        kept = [
            key
            for key, record in records.items()
            if lasting[record.fingerprint].own
            or self._is_named(record.fingerprint)
        ]
        self.keeping.update(records, kept)

    def _note_era(self, era: int) -> None:
        if era > self._era:
            self._era = era
            self.keeping.note_return()

    def _is_named(self, fingerprint: str) -> bool:
        """Tell whether rendezvous hashing names this host for a request."""
        fleet = self.watch.cluster.fleet
        return rank_by_rendezvous(fingerprint, fleet.names)[0] == fleet.own.name
