"""Stand-in for a store of rows with change feeds, in memory."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from crocusshunt.feeds import (
    CallProgress,
    Changes,
    FeedError,
    FeedRefusedError,
    FeedUnreachableError,
    HistoryLostError,
    Row,
    RowWrite,
    find_era,
    find_number,
    join_version,
)

_SILENCE_S = 30


@dataclass(slots=True)
class FeedFaults:
    """Faults of the stand-in.

    :param is_down: calls are refused and change nothing.
    :param is_silent: calls get no response in time and change nothing.
    """

    is_down: bool = False
    is_silent: bool = False

    async def apply(self, timeout_s: float = _SILENCE_S) -> FeedError | None:
        """Return the error of a call, None if it is carried out.

        :param timeout_s: time after which the caller gives up, in seconds.
        """
        if self.is_silent:
            await asyncio.sleep(min(timeout_s, _SILENCE_S))
            return FeedUnreachableError('silent')
        return FeedRefusedError('down') if self.is_down else None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Rows and history of a store at some moment."""

    version: int
    rows: dict[tuple[str, str], Row]
    history: list[tuple[str, Row]]


@dataclass(slots=True)
class MemoryFeedStore:
    """Tables of rows with one version counter, and a history of changes.

    Each write increments the version of the store, which becomes the version
    of the row. The version that callers see also has the era, which rises when
    the store comes back from a copy.

    >>> store = MemoryFeedStore()
    >>> store.put('op', 'config', b'{}')
    >>> store.version
    1
    """

    version: int = 0
    era: int = 0
    faults: FeedFaults = field(default_factory=FeedFaults)
    address: str = ''
    _rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    _history: list[tuple[str, Row]] = field(default_factory=list)
    _dropped_until: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def full_version(self) -> int:
        """Return the newest version with its era."""
        return join_version(self.era, self.version)

    def copy(self) -> StoreCopy:
        """Return a copy, from which the store may come back later."""
        return StoreCopy(self.version, dict(self._rows), list(self._history))

    def return_from(self, copy: StoreCopy) -> None:
        """Lose what came after a copy; versions are given out again."""
        self.era += 1
        self.version = copy.version
        self._dropped_until = min(self._dropped_until, copy.version)
        self._rows = {
            place: _renew(row, self.era) for place, row in copy.rows.items()
        }
        self._history = [
            (table, _renew(row, self.era)) for table, row in copy.history
        ]

    def put(self, table: str, key: str, content: bytes) -> None:
        """Create or replace a row."""
        self.version += 1
        row = Row(key, content, self.full_version)
        self._rows[table, key] = row
        self._record_change(table, row)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self._rows.pop((table, key), None)
        row = Row(key, b'', self.full_version, is_removed=True)
        self._record_change(table, row)

    def find_last_version(self, table: str) -> int:
        """Return the version of the newest change of a table."""
        versions = (
            row.version
            for row_table, row in self._history
            if row_table == table
        )
        return max(versions, default=0)

    def forget_history(self) -> None:
        """Drop the history; followers must read their whole tables again."""
        self._dropped_until = self.version
        self._history = []

    def redirect(self, address: str) -> None:
        """Set the address of the store that is used from now on."""
        self.address = address

    async def read_table(
        self, table: str, progress: CallProgress | None = None
    ) -> Result[Changes, FeedError]:
        """Return all rows of a table, ordered by key.

        :param progress: not told anything, since answers come whole.
        """
        failure = await self.faults.apply()
        if failure is not None:
            return Err(failure)
        rows = (
            row
            for (row_table, _key), row in self._rows.items()
            if row_table == table
        )
        ordered = sorted(rows, key=lambda row: row.key)
        return Ok(Changes(tuple(ordered), self.full_version))

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        answer_s: float = _SILENCE_S,
        progress: CallProgress | None = None,
    ) -> Result[Changes, FeedError]:
        """Return the changes after a version; wait for one if there is none.

        :param after: version after which changes are wanted.
        :param wait_s: longest wait for a change, in seconds.
        :param answer_s: time after that wait at which a call without an
            answer fails, in seconds.
        :param progress: not told anything, since answers come whole.
        """
        failure = await self.faults.apply(wait_s + answer_s)
        if failure is not None:
            return Err(failure)
        if not self._has_history(after):
            return Err(HistoryLostError('unknown version'))
        rows = _select_changes(self._history, table, after)
        if not rows and wait_s > 0:
            rows = await self._wait_for_changes(table, after, wait_s)
        if not self._has_history(after):
            return Err(HistoryLostError('lost during the wait'))
        return Ok(Changes(rows, self.full_version))

    async def write(self, *writes: RowWrite) -> Result[None, FeedError]:
        """Write or remove rows unconditionally."""
        failure = await self.faults.apply()
        if failure is not None:
            return Err(failure)
        for write in writes:
            if write.content is None:
                self.remove(write.table, write.key)
            else:
                self.put(write.table, write.key, write.content)
        return Ok(None)

    async def _wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> tuple[Row, ...]:
        """Return the changes of a table as soon as there are any."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not _select_changes(self._history, table, after):
                    await self._changed.wait()
        # Also when the wait is over: the answer has the version of now.
        return _select_changes(self._history, table, after)

    def _has_history(self, after: int) -> bool:
        """Tell whether all changes after a version are known."""
        if find_era(after) != self.era or after > self.full_version:
            return False
        return find_number(after) >= self._dropped_until

    def _record_change(self, table: str, row: Row) -> None:
        self._history.append((table, row))
        self._changed.set()
        self._changed = asyncio.Event()


def _select_changes(
    history: list[tuple[str, Row]], table: str, after: int
) -> tuple[Row, ...]:
    return tuple(
        row
        for row_table, row in history
        if row_table == table and row.version > after
    )


def _renew(row: Row, era: int) -> Row:
    """Return a row of a copy with its version in a new era."""
    number = find_number(row.version)
    return msgspec.structs.replace(row, version=join_version(era, number))
