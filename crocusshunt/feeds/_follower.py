"""Task that keeps a local copy of one table up to date."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Result

from crocusshunt.core import Clock
from crocusshunt.feeds._errors import FeedError, HistoryLostError
from crocusshunt.feeds._image import TableImage
from crocusshunt.feeds._rows import Changes, FeedStore, Row
from crocusshunt.logs import log_event

_INITIAL_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.6
_PAUSE_GROWTH = 2
_JITTER = 0.3

RowSink = Callable[[tuple[Row, ...]], None]


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """How a table is followed.

    :param table: name of the table.
    :param wait_s: longest time for which one call waits for changes, in
        seconds; a connection without answers is noticed soon after it.
    :param spacing_s: pause after an answer with changes, in seconds, so that
        the next call returns several changes at once.
    :param settle_s: time for which removals are deferred after an outage of
        the store, in seconds, since the owners of the removed rows may still
        write them again.
    :param outage_s: shortest time of failures that counts as an outage, in
        seconds.
    """

    table: str
    wait_s: float = 10
    spacing_s: float = 0
    settle_s: float = 0
    outage_s: float = 1


class Follower:
    """Keeps a copy of a table up to date through its feed, or from peers.

    Changed rows are passed to the sink in order, except that removals are
    deferred after an outage. The copy never returns to an older version.
    """

    def __init__(
        self,
        store: FeedStore,
        settings: FollowerSettings,
        clock: Clock,
        sink: RowSink,
    ) -> None:
        """Prepare to follow a table; nothing is read yet.

        :param sink: called with the rows that were written or removed.
        """
        self.settings = settings
        self.image = TableImage()
        self._store = store
        self._clock = clock
        self._sink = sink
        self._answered_at = clock.monotonic()
        self._failing_since: float | None = None
        self._is_loss_logged = False
        self._has_changes = False
        self._settle_until: float = 0
        self._deferred_removals: dict[str, Row] = {}

    @property
    def age_s(self) -> float:
        """Return the time since the last answer of the store, in seconds."""
        return self._clock.monotonic() - self._answered_at

    @property
    def is_failing(self) -> bool:
        """Tell whether the last call to the store failed."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Poll the store until cancelled, with backoff after failures."""
        pause = _INITIAL_PAUSE_S
        while True:
            if await self.poll():
                pause = _INITIAL_PAUSE_S
                await asyncio.sleep(self._compute_pause())
                continue
            await asyncio.sleep(pause * (1 + _JITTER * random.random()))
            pause = min(_MAX_PAUSE_S, pause * _PAUSE_GROWTH)

    async def poll(self) -> bool:
        """Call the store once; return whether it answered."""
        answer = await self._call()
        if isinstance(answer, Err):
            self._note_failure(answer.err_value)
            return False
        return True

    def apply_peer_image(self, changes: Changes) -> bool:
        """Apply a peer's copy of the table; return whether it was newer.

        :param changes: all rows of the peer's copy.
        """
        if changes.version <= self.image.version:
            return False
        self._publish(self.image.replace(changes))
        return True

    async def _call(self) -> Result[Changes, FeedError]:
        image = self.image
        table = self.settings.table
        if not image.is_known:
            answer = await self._store.read_table(table)
            return answer.inspect(self._apply_table)
        wait_s = self._compute_wait()
        answer = await self._store.read_changes(table, image.version, wait_s)
        if not isinstance(answer, Err):
            return answer.inspect(self._apply_changes)
        if isinstance(answer.err_value, HistoryLostError):
            log_event('feed history lost, reading the table', table=table)
            answer = await self._store.read_table(table)
            return answer.inspect(self._apply_table)
        return answer

    def _compute_wait(self) -> float:
        if self.is_failing:
            return 0
        if not self._deferred_removals:
            return self.settings.wait_s
        remaining_s = self._settle_until - self._clock.monotonic()
        return min(self.settings.wait_s, max(0, remaining_s))

    def _compute_pause(self) -> float:
        """Return the pause after an answer, in seconds.

        It ends early when deferred removals are due.
        """
        spacing_s = self.settings.spacing_s if self._has_changes else 0
        if not self._deferred_removals:
            return spacing_s
        remaining_s = self._settle_until - self._clock.monotonic()
        return min(spacing_s, max(0, remaining_s))

    def _apply_table(self, changes: Changes) -> None:
        self._note_answer()
        self._publish(self.image.replace(changes))

    def _apply_changes(self, changes: Changes) -> None:
        self._note_answer()
        self._publish(self.image.merge(changes))

    def _publish(self, changed_rows: tuple[Row, ...]) -> None:
        """Pass changed rows to the sink.

        Removals are deferred until the time to settle after an outage is over.
        A row that is written again meanwhile is no longer removed.
        """
        self._has_changes = bool(changed_rows)
        now = self._clock.monotonic()
        for changed_row in changed_rows:
            self._deferred_removals.pop(changed_row.key, None)
        if now < self._settle_until:
            removed = {row.key: row for row in changed_rows if row.is_removed}
            self._deferred_removals.update(removed)
            changed_rows = tuple(
                row for row in changed_rows if not row.is_removed
            )
        elif self._deferred_removals:
            changed_rows = (*changed_rows, *self._deferred_removals.values())
            self._deferred_removals = {}
        if changed_rows:
            self._sink(changed_rows)

    def _note_answer(self) -> None:
        now = self._clock.monotonic()
        if self._failing_since is not None:
            failing_s = now - self._failing_since
            if failing_s >= self.settings.outage_s:
                self._settle_until = now + self.settings.settle_s
            if self._is_loss_logged:
                log_event(
                    'store regained',
                    table=self.settings.table,
                    outage_s=round(failing_s, 3),
                )
        self._failing_since = None
        self._is_loss_logged = False
        self._answered_at = now

    def _note_failure(self, error: FeedError) -> None:
        if self._failing_since is None:
            self._failing_since = self._answered_at
        if not self._is_loss_logged:
            self._is_loss_logged = True
            log_event(
                'store lost',
                logging.WARNING,
                table=self.settings.table,
                cause=str(error),
                age_s=round(self.age_s, 3),
            )
