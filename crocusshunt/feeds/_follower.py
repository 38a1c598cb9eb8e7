"""A task that keeps the image of one table up to date."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Result

from crocusshunt.core import Clock
from crocusshunt.feeds._errors import FeedError, HistoryLostError
from crocusshunt.feeds._image import TableImage
from crocusshunt.feeds._values import Changes, FeedStore, Row
from crocusshunt.logs import log_event

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.6
_PAUSE_GROWTH = 2
_JITTER = 0.3

Sink = Callable[[tuple[Row, ...]], None]


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """How a table is followed.

    :param wait_s: longest wait of one call for news, in seconds; a
        connection that went silent is noticed soon after it at the latest.
    :param spacing_s: pause after news, so that the next call brings all that
        changes meanwhile, in seconds.
    :param settle_s: after an outage of the store, how long removals are put
        off, in seconds, since their owners may still write them anew.
    :param outage_s: failures shorter than this are no outage, in seconds.
    """

    table: str
    wait_s: float = 10
    spacing_s: float = 0
    settle_s: float = 0
    outage_s: float = 1


class Follower:
    """Follows a table through its feed, or through peers.

    News reach the sink in order. The image never falls back to an older
    version.
    """

    def __init__(
        self,
        store: FeedStore,
        settings: FollowerSettings,
        clock: Clock,
        sink: Sink,
    ) -> None:
        """Use a store; nothing is read yet."""
        self.settings = settings
        self.image = TableImage()
        self._store = store
        self._clock = clock
        self._sink = sink
        self._answered_at = clock.monotonic()
        self._failing_since: float | None = None
        self._is_cut = False
        self._has_news = False
        self._settled_at: float = 0
        self._put_off: dict[str, Row] = {}

    @property
    def age_s(self) -> float:
        """Return the seconds since the store last answered."""
        return self._clock.monotonic() - self._answered_at

    @property
    def is_failing(self) -> bool:
        """Tell whether the last call to the store failed."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = _FIRST_PAUSE_S
        while True:
            if await self.poll():
                pause = _FIRST_PAUSE_S
                await asyncio.sleep(self._find_spacing())
                continue
            await asyncio.sleep(pause * (1 + _JITTER * random.random()))
            pause = min(_LONGEST_PAUSE_S, pause * _PAUSE_GROWTH)

    async def poll(self) -> bool:
        """Call the store once; return whether it answered."""
        answer = await self._call()
        if isinstance(answer, Err):
            self._note_failure(answer.err_value)
            return False
        return True

    def apply_peer_image(self, changes: Changes) -> bool:
        """Take a peer's newer image; return whether it was newer."""
        if changes.version <= self.image.version:
            return False
        self._publish(self.image.replace(changes))
        return True

    async def _call(self) -> Result[Changes, FeedError]:
        image = self.image
        table = self.settings.table
        if not image.is_known:
            answer = await self._store.read_table(table)
            return answer.inspect(self._take_whole)
        wait_s = self._find_wait()
        answer = await self._store.read_changes(table, image.version, wait_s)
        if not isinstance(answer, Err):
            return answer.inspect(self._take_news)
        if isinstance(answer.err_value, HistoryLostError):
            log_event('feed history lost, reading the table', table=table)
            answer = await self._store.read_table(table)
            return answer.inspect(self._take_whole)
        return answer

    def _find_wait(self) -> float:
        if self.is_failing:
            return 0
        if not self._put_off:
            return self.settings.wait_s
        left = self._settled_at - self._clock.monotonic()
        return min(self.settings.wait_s, max(0, left))

    def _find_spacing(self) -> float:
        """Return the pause after an answer; removals put off end it."""
        spacing_s = self.settings.spacing_s if self._has_news else 0
        if not self._put_off:
            return spacing_s
        left_s = self._settled_at - self._clock.monotonic()
        return min(spacing_s, max(0, left_s))

    def _take_whole(self, changes: Changes) -> None:
        self._note_answer()
        self._publish(self.image.replace(changes))

    def _take_news(self, changes: Changes) -> None:
        self._note_answer()
        self._publish(self.image.merge(changes))

    def _publish(self, news: tuple[Row, ...]) -> None:
        """Pass news on, and removals only once the store has settled."""
        self._has_news = bool(news)
        now = self._clock.monotonic()
        for changed in news:
            self._put_off.pop(changed.key, None)
        if now < self._settled_at:
            removed = {row.key: row for row in news if row.is_removed}
            self._put_off.update(removed)
            news = tuple(row for row in news if not row.is_removed)
        elif self._put_off:
            news = (*news, *self._put_off.values())
            self._put_off = {}
        if news:
            self._sink(news)

    def _note_answer(self) -> None:
        now = self._clock.monotonic()
        if self._failing_since is not None:
            lasted = now - self._failing_since
            if lasted >= self.settings.outage_s:
                self._settled_at = now + self.settings.settle_s
            if self._is_cut:
                log_event(
                    'store regained',
                    table=self.settings.table,
                    outage_s=round(lasted, 3),
                )
        self._failing_since = None
        self._is_cut = False
        self._answered_at = now

    def _note_failure(self, error: FeedError) -> None:
        if self._failing_since is None:
            self._failing_since = self._answered_at
        if not self._is_cut:
            self._is_cut = True
            log_event(
                'store lost',
                logging.WARNING,
                table=self.settings.table,
                cause=str(error),
                age_s=round(self.age_s, 3),
            )
