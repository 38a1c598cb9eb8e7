"""Interfaces of the platform and the values that they exchange."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from crocusshunt.store._errors import StoreError

# Version of a row that does not exist.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the table service.

    :param version: number of writes to the row so far.
    :param body: content of the row.
    """

    table: str
    key: str
    version: int
    body: str


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write of a transaction.

    :param body: new content, None to delete the row.
    :param expected: version that the row must have: :data:`ABSENT` if it
        must not exist, None if any will do.
    """

    table: str
    key: str
    body: str | None
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Query:
    """A range of a table's rows, in the order of their keys.

    :param after: the range starts after this key, which is excluded.
    :param limit: greatest number of rows returned.
    """

    table: str
    after: str = ''
    limit: int = 500


class HostState(str, Enum):
    """State of a host according to the platform."""

    live = 'live'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True, order=True)
class HostEntry:
    """A host in the platform's list, which may lag behind reality.

    :param gateway: base URL of its gateway.
    :param controller: address of its controller, ``tcp://ip:port``.
    """

    name: str
    region: str
    failure_domain: str
    gateway: str
    controller: str
    state: HostState = HostState.live


class TableStore(Protocol):
    """The platform's transactional table service."""

    async def read(
        self,
        table: str,
        key: str,
    ) -> Result[StoredRow | None, StoreError]:
        """Return a row, None where it is absent."""

    async def query(
        self,
        query: Query,
    ) -> Result[tuple[StoredRow, ...], StoreError]:
        """Return the rows of a range, in the order of their keys."""

    async def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Result[None, StoreError]:
        """Apply all writes, or none if one version is not the expected one."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object, None where it is absent."""

    async def put_object(
        self,
        name: str,
        body: bytes,
    ) -> Result[None, StoreError]:
        """Create or replace an object."""


class Platform(TableStore, ObjectStore, Protocol):
    """All services of the platform."""

    async def list_hosts(self) -> Result[tuple[HostEntry, ...], StoreError]:
        """Return the list of hosts, which may lag behind reality."""
