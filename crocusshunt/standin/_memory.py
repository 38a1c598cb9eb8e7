"""Stand-in for the services of the platform, in memory."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.store import (
    HostEntry,
    Query,
    StoreConflictError,
    StoredRow,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
    Write,
)


@dataclass(slots=True)
class PlatformSwitches:
    """Faults of the platform.

    :param is_down: calls are refused and change nothing.
    :param delay_s: delay before each call, in seconds.
    :param lost_answers: number of coming transactions that take effect but
        whose response is lost.
    :param lost_table: only transactions that write to this table lose their
        response; empty for any table.
    """

    is_down: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    lost_table: str = ''


class MemoryPlatform:
    """Tables, objects and the list of hosts, in memory.

    Each write to a row increments the version of the row.

    >>> import asyncio
    >>> platform = MemoryPlatform()
    >>> write = Write('head', 'k', 'one', expected=0)
    >>> asyncio.run(platform.transact((write,)))
    Ok(None)
    >>> asyncio.run(platform.transact((write,))).unwrap_err().version
    1
    """

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self.switches = PlatformSwitches()
        self.hosts: tuple[HostEntry, ...] = ()
        self.calls = 0
        self._rows: dict[str, dict[str, StoredRow]] = {}
        self._objects: dict[str, bytes] = {}

    async def read(
        self,
        table: str,
        key: str,
    ) -> Result[StoredRow | None, StoreError]:
        """Return a row, None where it is absent."""
        failure = await self._apply_faults()
        if failure is not None:
            return Err(failure)
        return Ok(self._rows.get(table, {}).get(key))

    async def query(
        self,
        query: Query,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        """Return the rows of a range, in the order of their keys."""
        failure = await self._apply_faults()
        if failure is not None:
            return Err(failure)
        rows = self._rows.get(query.table, {})
        keys = sorted(key for key in rows if key > query.after)
        return Ok(tuple(rows[key] for key in keys[: query.limit]))

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        """Apply all writes, or none if one version is not the expected one."""
        failure = await self._apply_faults()
        if failure is not None:
            return Err(failure)
        conflict = self._find_conflict(writes)
        if conflict is not None:
            return Err(conflict)
        for write in writes:
            self._apply_write(write)
        if self._is_answer_lost(writes):
            self.switches.lost_answers -= 1
            return Err(StoreUnknownOutcomeError('answer lost'))
        return Ok(None)

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object, None where it is absent."""
        failure = await self._apply_faults()
        if failure is not None:
            return Err(failure)
        return Ok(self._objects.get(name))

    async def put_object(
        self,
        name: str,
        body: bytes,
    ) -> Result[None, StoreError]:
        """Create or replace an object."""
        failure = await self._apply_faults()
        if failure is not None:
            return Err(failure)
        self._objects[name] = body
        return Ok(None)

    async def list_hosts(self) -> Result[tuple[HostEntry, ...], StoreError]:
        """Return the list of hosts."""
        failure = await self._apply_faults()
        if failure is not None:
            return Err(failure)
        return Ok(self.hosts)

    async def _apply_faults(self) -> StoreError | None:
        self.calls += 1
        if self.switches.delay_s:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.is_down:
            return StoreUnavailableError('the store is down')
        return None

    def _is_answer_lost(self, writes: tuple[Write, ...]) -> bool:
        lost_table = self.switches.lost_table
        tables = {write.table for write in writes}
        return self.switches.lost_answers > 0 and lost_table in {'', *tables}

    def _find_conflict(
        self,
        writes: tuple[Write, ...],
    ) -> StoreConflictError | None:
        for write in writes:
            row = self._rows.get(write.table, {}).get(write.key)
            version = 0 if row is None else row.version
            if write.expected is not None and write.expected != version:
                return StoreConflictError(write.table, write.key, version)
        return None

    def _apply_write(self, write: Write) -> None:
        rows = self._rows.setdefault(write.table, {})
        if write.body is None:
            rows.pop(write.key, None)
            return
        version = rows[write.key].version + 1 if write.key in rows else 1
        rows[write.key] = StoredRow(
            write.table,
            write.key,
            version,
            write.body,
        )
