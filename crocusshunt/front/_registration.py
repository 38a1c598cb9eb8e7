"""The record of this host in the store."""

import asyncio
from dataclasses import dataclass

import msgspec
from result import Err

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore, Follower, RowWrite
from crocusshunt.fleet import HostRecord
from crocusshunt.logs import log_event

_RETRY_PAUSE_S = 0.5
_CHECK_INTERVAL_S = 1
# A record that was written shows in the copy of the table within this time.
_MISSING_S = 3


@dataclass(slots=True)
class Registration:
    """Keeps this host's record in the table of hosts.

    A store that came back from an older copy may have lost it. A record with
    other content stays: it is that of a host that replaces this one.

    :param hosts: follows the table.
    """

    record: HostRecord
    store: FeedStore
    hosts: Follower
    clock: Clock

    async def run(self) -> None:
        """Write the record, and again whenever it is missing."""
        while True:
            await self._write()
            await self._wait_until_missing()
            log_event('host record missing', host=self.record.name)

    async def _write(self) -> None:
        """Write the record, repeatedly until the store accepts it."""
        write = RowWrite(
            self.hosts.settings.table,
            self.record.name,
            msgspec.json.encode(self.record),
        )
        written = await self.store.write(write)
        while isinstance(written, Err):
            log_event('host not registered', cause=str(written.err_value))
            await asyncio.sleep(_RETRY_PAUSE_S)
            written = await self.store.write(write)
        log_event('host registered', host=self.record.name)

    async def _wait_until_missing(self) -> None:
        """Return once the store answers and the record has been missing."""
        seen_at = self.clock.monotonic()
        while self.clock.monotonic() - seen_at < _MISSING_S:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            is_present = self.record.name in self.hosts.image.rows
            if self.hosts.is_failing or is_present:
                seen_at = self.clock.monotonic()
