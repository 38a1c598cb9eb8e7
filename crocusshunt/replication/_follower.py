"""Task that updates a feed from another process that has one."""

import asyncio
from dataclasses import dataclass

from result import Err

from crocusshunt.core import Clock
from crocusshunt.messages import (
    ChangeFeed,
    FetchChanges,
    RequesterPool,
    SnapshotFeed,
)
from crocusshunt.replication._feed import Feed


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Sources of a follower, and the timing of its requests.

    :param sources: addresses to poll, in order of preference.
    :param wait_s: longest time in seconds that a source waits for a new
        change before it answers (long poll).
    :param timeout_s: time in seconds allowed for the answer in addition.
    :param pause_s: pause in seconds after a failed request.
    """

    sources: tuple[str, ...]
    wait_s: float = 0.5
    timeout_s: float = 1
    pause_s: float = 0.2


class Follower:
    """Polls one of several sources for changes and applies them to a feed."""

    def __init__(
        self,
        settings: FollowerSettings,
        feed: Feed,
        requesters: RequesterPool,
        clock: Clock,
    ) -> None:
        """Create a follower; ``run`` starts the polling.

        :param feed: feed that is kept up to date.
        """
        self._settings = settings
        self._feed = feed
        self._requesters = requesters
        self._clock = clock

    async def run(self) -> None:
        """Poll forever, moving to the next source after a failure."""
        position = 0
        while True:
            sources = self._settings.sources
            if not await self.poll_source(sources[position % len(sources)]):
                position += 1
                await asyncio.sleep(self._settings.pause_s)

    async def poll_source(self, source: str) -> bool:
        """Poll one source once.

        :return: whether the source answered, its changes were applied and it
            is not known to be behind.
        """
        settings = self._settings
        asked_at = self._clock.monotonic()
        revision = self._feed.configuration.revision
        answer = await self._requesters.get(source).exchange(
            FetchChanges(revision, settings.wait_s),
            settings.wait_s + settings.timeout_s,
        )
        if isinstance(answer, Err):
            return False
        body = answer.ok_value
        if not isinstance(body, ChangeFeed | SnapshotFeed):
            return False
        self._feed.accept_testimonies(body.testimonies, asked_at)
        if isinstance(body, SnapshotFeed):
            return self._feed.accept_snapshot(body, asked_at)
        is_applied = self._feed.accept_changes(
            body.changes,
            body.evidence,
            asked_at,
        )
        # A source that sends no changes although a witness knows of a newer
        # revision is behind: the next one is polled instead.
        is_current = bool(body.changes) or not self._feed.is_behind()
        return is_applied and is_current
