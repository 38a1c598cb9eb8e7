"""Rows of a store, and the calls that a follower needs."""

from typing import Protocol

import msgspec
from result import Result

from crocusshunt.feeds._errors import FeedError


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row of a table.

    :param version: the store's version of the change that wrote it.
    :param is_removed: whether the change removed the row.
    """

    key: str
    content: bytes
    version: int
    is_removed: bool = False


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Rows as of a version.

    :param version: newest version of the store that the rows reflect.
    """

    rows: tuple[Row, ...]
    version: int


class RowWrite(msgspec.Struct, frozen=True):
    """A row to write, or to remove without content."""

    table: str
    key: str
    content: bytes | None = None


class FeedStore(Protocol):
    """A store whose tables can be read whole and followed."""

    async def read_table(self, table: str) -> Result[Changes, FeedError]:
        """Return all rows of a table."""

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Result[Changes, FeedError]:
        """Return what changed after a version, at the latest after a wait."""

    async def write(self, write: RowWrite) -> Result[None, FeedError]:
        """Write or remove one row, whatever it held."""

    def redirect(self, address: str) -> None:
        """Use the store at another address from now on."""
