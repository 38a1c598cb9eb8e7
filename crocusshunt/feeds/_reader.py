"""Reading of a table: its changes, or all its rows where that is less."""

from dataclasses import dataclass

from result import Err, Ok, Result

from crocusshunt.feeds._calls import AbandonableCall
from crocusshunt.feeds._errors import (
    FeedError,
    FeedOversizedError,
    FeedRefusedError,
    HistoryLostError,
)
from crocusshunt.feeds._image import TableImage
from crocusshunt.feeds._rows import Changes, FeedStore
from crocusshunt.logs import log_event

# Changes over this size that take more bytes than the table, in base64 and by
# half as much again, have versions that nobody needs any more.
_MAX_CHANGES_BYTES = 1_048_576
_CHANGES_FACTOR = 2


@dataclass(frozen=True, slots=True)
class Reading:
    """An answer of the store.

    :param is_whole: whether it has all rows of the table, not only changes.
    """

    changes: Changes
    is_whole: bool


@dataclass(slots=True)
class TableReader:
    """Reads what a copy of a table lacks.

    :param image: the copy, which is not changed here.
    :param call: of which the progress is told.
    :param losses_in_a_row: answers without changes, since the store had lost
        its history, one after the other.
    """

    store: FeedStore
    table: str
    image: TableImage
    call: AbandonableCall
    losses_in_a_row: int = 0

    async def read(
        self, wait_s: float, answer_s: float
    ) -> Result[Reading, FeedError]:
        """Return the changes since the copy, or the whole table.

        :param wait_s: longest wait for a change, in seconds.
        :param answer_s: time after that wait at which a call without an
            answer counts as lost, in seconds.
        """
        if not self.image.is_known:
            return await self._read_whole()
        self.call.progress.max_bytes = _find_max_bytes(self.image)
        answer = await self.store.read_changes(
            self.table,
            self.image.version,
            wait_s,
            answer_s,
            self.call.progress,
        )
        if isinstance(answer, Ok):
            self.losses_in_a_row = 0
            return Ok(Reading(answer.ok_value, is_whole=False))
        if self._needs_table(answer.err_value):
            return (await self._read_whole()).and_then(self._check_age)
        return answer

    async def _read_whole(self) -> Result[Reading, FeedError]:
        progress = self.call.progress
        progress.max_bytes = float('inf')
        answer = await self.store.read_table(self.table, progress)
        return answer.map(_describe_whole)

    def _needs_table(self, error: FeedError) -> bool:
        """Tell whether the table is to be read instead of its changes."""
        if isinstance(error, FeedOversizedError):
            log_event('changes too large, reading the table', table=self.table)
            return True
        if not isinstance(error, HistoryLostError):
            return False
        self.losses_in_a_row += 1
        log_event('feed history lost, reading the table', table=self.table)
        return True

    def _check_age(self, reading: Reading) -> Result[Reading, FeedError]:
        """Return an error for a table that is older than the copy.

        It counts as a failed call, so that calls are spaced.
        """
        if reading.changes.version < self.image.version:
            return Err(FeedRefusedError('table is older than the copy'))
        return Ok(reading)


def _describe_whole(changes: Changes) -> Reading:
    return Reading(changes, is_whole=True)


def _find_max_bytes(image: TableImage) -> float:
    """Return from which size changes take longer to read than the table.

    They have each version of a row that changed several times.
    """
    size = sum(len(row.content) for row in image.rows.values())
    return max(_MAX_CHANGES_BYTES, _CHANGES_FACTOR * size)
