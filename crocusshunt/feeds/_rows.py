"""Rows of a store, and the interface to it that a follower uses."""

from typing import Protocol

import msgspec
from result import Result

from crocusshunt.feeds._errors import FeedError
from crocusshunt.feeds._progress import CallProgress

# Rows that one call may write or remove.
MAX_WRITE_COUNT = 100


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row of a table.

    :param version: version of the store at the last change of the row.
    :param is_removed: whether the change removed the row.
    """

    key: str
    content: bytes
    version: int
    is_removed: bool = False


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """All rows of a table, or those that changed, as of a version.

    :param version: newest version of the store that the rows reflect.
    """

    rows: tuple[Row, ...]
    version: int


class RowWrite(msgspec.Struct, frozen=True):
    """A row to write, or to remove if it has no content."""

    table: str
    key: str
    content: bytes | None = None


class FeedStore(Protocol):
    """A store whose tables can be read and followed through feeds."""

    async def read_table(
        self, table: str, progress: CallProgress | None = None
    ) -> Result[Changes, FeedError]:
        """Return all rows of a table.

        :param progress: told of each part of the answer as it comes.
        """

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        answer_s: float,
        progress: CallProgress | None = None,
    ) -> Result[Changes, FeedError]:
        """Return the changes after a version.

        Wait for a change if there is none, then return without one.

        :param wait_s: longest wait for a change, in seconds.
        :param answer_s: time after that wait by which the answer must be
            here, in seconds; without it the call counts as lost.
        :param progress: told of each part of the answer as it comes.
        """

    async def write(self, *writes: RowWrite) -> Result[None, FeedError]:
        """Write or remove rows, all or none, whatever their content is.

        :param writes: of different rows, at most ``MAX_WRITE_COUNT``.
        """

    def redirect(self, address: str) -> None:
        """Use the store at another address from now on.

        :param address: ``ip:port``.
        """
