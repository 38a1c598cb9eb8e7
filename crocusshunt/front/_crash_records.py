"""Crashes under requests, kept in the store while all hosts may end."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from result import Err, Ok

from crocusshunt.core import Clock, rank_by_rendezvous
from crocusshunt.crashes import (
    CrashRecord,
    CrashSettings,
    create_records,
    decode_record,
    encode_record,
    find_fingerprint,
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
    undo each other's work, and rows may be written again. A host that saw a
    crash under a request writes all crashes that it knows of; who wrote them,
    or the host that rendezvous hashing names, removes them.

    :param table: name of the table.
    """

    table: str
    store: FeedStore
    watch: CrashWatch
    followers: Followers
    clock: Clock
    _failed_reads: int = 0
    _is_read: bool = False
    _era: int = 0
    # Keys of crashes that are to last, as of the last check; of those that
    # this host wrote; and of rows to be removed.
    _lasting: set[str] = field(default_factory=set)
    _written: set[str] = field(default_factory=set)
    _outdated: set[str] = field(default_factory=set)

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
            log_event('crash records not read', cause=str(answer.err_value))
            return False
        self._take_over(answer.ok_value.rows)
        self._is_read = True
        return True

    async def write_changes(self) -> bool:
        """Write and remove rows if needed; return whether the store did so."""
        records = self._update()
        missing = [key for key in records if key not in self._written]
        writes = [
            RowWrite(self.table, key, encode_record(records[key]))
            for key in missing
        ]
        writes.extend(RowWrite(self.table, key) for key in self._outdated)
        chosen = tuple(islice(writes, MAX_WRITE_COUNT))
        if not chosen:
            return True
        done = await self.store.write(*chosen)
        if isinstance(done, Err):
            log_event('crash records not written', cause=str(done.err_value))
            return False
        self._note_written(chosen)
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
        reports = report_records(records, self.clock.wall(), CrashSettings())
        now = self.clock.monotonic()
        self.watch.merge(reports, now, passes_on=False)

    def _update(self) -> dict[str, CrashRecord]:
        """Find what is to be written and removed.

        :return: the records that this host has to write, by key.
        """
        self._forget_lost_rows()
        now = self.clock.monotonic()
        isolated = self.watch.isolation.isolation.list_isolated(now)
        lasting = self.watch.ledger.select_lasting(isolated)
        offset_s = self.clock.wall() - now
        records = create_records(lasting, offset_s)
        ended = self._lasting - records.keys()
        self._outdated |= {key for key in ended if self._may_remove(key)}
        self._outdated -= records.keys()
        self._lasting = set(records)
        return {
            key: record
            for key, record in records.items()
            if lasting[record.fingerprint].own
        }

    def _forget_lost_rows(self) -> None:
        """Write all again to a store that came back from an older copy."""
        era = find_era(self.followers.hosts.image.version)
        if era > self._era:
            self._era = era
            self._written.clear()

    def _may_remove(self, key: str) -> bool:
        if key in self._written:
            return True
        fleet = self.watch.cluster.fleet
        ranked = rank_by_rendezvous(find_fingerprint(key), fleet.names)
        return ranked[0] == fleet.own.name

    def _note_written(self, writes: Iterable[RowWrite]) -> None:
        for write in writes:
            if write.content is None:
                self._written.discard(write.key)
                self._outdated.discard(write.key)
            else:
                self._written.add(write.key)
                log_event('crash written down', key=write.key)
