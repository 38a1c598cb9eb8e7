"""Task that keeps a local copy of one table up to date."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from crocusshunt.core import Clock
from crocusshunt.feeds._availability import StoreAvailability
from crocusshunt.feeds._calls import AbandonableCall
from crocusshunt.feeds._image import TableImage
from crocusshunt.feeds._reader import Reading, TableReader
from crocusshunt.feeds._removals import DeferredRemovals
from crocusshunt.feeds._rows import Changes, FeedStore, Row
from crocusshunt.feeds._versions import find_era, find_number
from crocusshunt.logs import log_event

_INITIAL_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.4
_PAUSE_GROWTH = 2
_JITTER = 0.3
# The owners of rows that a store lost write them again within about this time.
_RETURN_SETTLE_S = 2
# Pause of a follower whose store lost the history again right after it read the
# table.
_LOST_AGAIN_PAUSE_S = 0.4

RowSink = Callable[[Row], None]


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """How a table is followed.

    :param table: name of the table.
    :param wait_s: longest time for which one call waits for changes, in
        seconds.
    :param answer_s: time after that wait at which a call without an answer
        counts as lost, in seconds.
    :param slow_answer_s: the same while calls fail, in seconds, so that a slow
        store is not taken for an unavailable one for ever.
    :param spacing_s: pause after an answer with changes, in seconds, so that
        the next call returns several changes at once.
    :param settle_s: time for which removals are deferred after an outage of
        the store, in seconds, since the owners of the removed rows may still
        write them again.
    :param copies_large: whether a peer's copy of the table takes the place of
        a large answer of the store.
    :param outage_s: shortest time of failures that counts as an outage, in
        seconds.
    """

    table: str
    wait_s: float = 10
    answer_s: float = 1
    slow_answer_s: float = 1.5
    spacing_s: float = 0
    settle_s: float = 0
    outage_s: float = 1
    copies_large: bool = False


class Follower:
    """Keeps a copy of a table up to date through its feed, or from peers.

    Changed rows are passed to the sink in order, except that removals are
    deferred after an outage. The copy never returns to an older version. A row
    that the sink cannot apply is logged and counted in ``rejected_rows``, with
    the last error in ``rejection``; the others are applied.

    A call that waits for changes may have been lost, which shows only when
    its answer is overdue. Whoever needs to know sooner limits the wait, or has
    the store called again.
    """

    def __init__(
        self,
        store: FeedStore,
        settings: FollowerSettings,
        clock: Clock,
        sink: RowSink,
    ) -> None:
        """Prepare to follow a table; nothing is read yet.

        :param sink: called with each row that was written or removed.
        """
        self.settings = settings
        self.image = TableImage()
        self.call = AbandonableCall(clock)
        self.rejected_rows = 0
        self.rejection = ''
        self._reader = TableReader(store, settings.table, self.image, self.call)
        self._clock = clock
        self._sink = sink
        self._max_wait_s = settings.wait_s
        self._is_refreshing = False
        self.availability = StoreAvailability(settings.table, clock)
        self._has_changes = False
        self._copied_at = float('-inf')
        self._removals = DeferredRemovals(clock)

    @property
    def age_s(self) -> float:
        """Return the time since the last answer of the store, in seconds."""
        return self.availability.age_s

    @property
    def is_failing(self) -> bool:
        """Tell whether the last call to the store failed."""
        return self.availability.is_failing

    @property
    def is_reading_large(self) -> bool:
        """Tell whether an answer comes that a peer's copy would replace."""
        return self.settings.copies_large and self.call.is_reading_large

    async def run(self) -> None:
        """Poll the store until cancelled, with backoff after failures."""
        pause = _INITIAL_PAUSE_S
        while True:
            has_answered = await self.call.run(self.poll())
            if has_answered:
                pause = _INITIAL_PAUSE_S
                await asyncio.sleep(self._compute_pause())
            elif has_answered is False:
                await asyncio.sleep(pause * (1 + _JITTER * random.random()))
                pause = min(_MAX_PAUSE_S, pause * _PAUSE_GROWTH)

    async def poll(self) -> bool:
        """Call the store once; return whether it answered."""
        settings = self.settings
        answer = await self._reader.read(
            self._compute_wait(),
            settings.slow_answer_s if self.is_failing else settings.answer_s,
        )
        self._is_refreshing = False
        if isinstance(answer, Err):
            self.call.note_waste()
            self.availability.note_failure(answer.err_value)
            return False
        self._accept(answer.ok_value)
        return True

    def limit_wait(self, wait_s: float) -> None:
        """Wait for changes no longer than for a time from now on.

        A call under way that may wait longer is sent again.

        :param wait_s: in seconds; the wait of the settings is not exceeded.
        """
        is_shorter = wait_s < self._max_wait_s
        self._max_wait_s = min(wait_s, self.settings.wait_s)
        if is_shorter:
            self.refresh()

    def refresh(self) -> None:
        """Abandon a call that waits for changes, and call at once instead.

        Calls that do not wait are left alone: they end soon. So are those whose
        answer is coming, since it would come anew from its beginning.
        """
        if self.is_failing or self.call.is_receiving:
            return
        if not self._is_refreshing:
            self._is_refreshing = self.call.abandon()
            self.call.note_waste()

    def apply_peer_image(self, changes: Changes) -> bool:
        """Apply a peer's copy of the table; return whether it was newer.

        :param changes: all rows of the peer's copy.
        """
        if changes.version <= self.image.version:
            return False
        self._publish(self.image.replace(changes))
        self._copied_at = self._clock.monotonic()
        if self.is_reading_large:
            self.call.note_waste()
            self.call.abandon()
        return True

    def _compute_wait(self) -> float:
        if self.is_failing or self._is_refreshing:
            return 0
        return self._removals.limit_wait(self._max_wait_s)

    def _compute_pause(self) -> float:
        """Return the pause after an answer, in seconds.

        It ends early when deferred removals are due.
        """
        spacing_s = self.settings.spacing_s if self._has_changes else 0
        if self._reader.losses_in_a_row > 1:
            spacing_s = max(spacing_s, _LOST_AGAIN_PAUSE_S)
        return self._removals.limit_wait(spacing_s)

    def _accept(self, reading: Reading) -> None:
        """Apply an answer of the store to the copy."""
        changes = reading.changes
        settings = self.settings
        self.call.note_answer()
        failing_s = self.availability.note_answer()
        # A store that told a peer something new was not away for its servers.
        copied_s = self._clock.monotonic() - self._copied_at
        is_outage = min(failing_s, copied_s) >= settings.outage_s
        settle_s = settings.settle_s if is_outage else 0
        if _has_returned(self.image, changes):
            _log_return(settings.table, self.image, changes)
            settle_s = max(settle_s, _RETURN_SETTLE_S)
        if settle_s:
            self._removals.defer_until(self._clock.monotonic() + settle_s)
        update = self.image.replace if reading.is_whole else self.image.merge
        self._publish(update(changes))

    def _publish(self, changed_rows: tuple[Row, ...]) -> None:
        """Pass changed rows to the sink, without removals to be deferred."""
        self._has_changes = bool(changed_rows)
        for row in self._removals.filter(changed_rows):
            self._apply(row)

    def _apply(self, row: Row) -> None:
        """Pass a row to the sink; its errors concern no other row."""
        try:
            self._sink(row)
        except Exception as error:
            self.rejected_rows += 1
            self.rejection = f'row {row.key}: {error!r}'
            log_event(
                'row not applied',
                logging.ERROR,
                table=self.settings.table,
                key=row.key,
                version=row.version,
                error=repr(error),
            )


def _has_returned(image: TableImage, changes: Changes) -> bool:
    """Tell whether the store came back from a copy since the last answer.

    Rows that it lost are written again by their owners.
    """
    return image.is_known and find_era(changes.version) > find_era(
        image.version
    )


def _log_return(table: str, image: TableImage, changes: Changes) -> None:
    log_event(
        'store returned from a copy',
        logging.WARNING,
        table=table,
        era=find_era(changes.version),
        known=find_number(image.version),
        version=find_number(changes.version),
    )
