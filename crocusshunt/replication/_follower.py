"""Keeps a feed up to date from the first source that answers."""

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
    """Where and how often a follower asks.

    :param sources: addresses asked, in order of preference.
    :param wait_s: how long a source may hold a question without news.
    :param timeout_s: wait for an answer beyond that.
    :param pause_s: pause after a failed question, in seconds.
    """

    sources: tuple[str, ...]
    wait_s: float = 0.5
    timeout_s: float = 1
    pause_s: float = 0.2


class Follower:
    """Task that asks its sources for changes."""

    def __init__(
        self,
        settings: FollowerSettings,
        feed: Feed,
        requesters: RequesterPool,
        clock: Clock,
    ) -> None:
        """Prepare to follow."""
        self._settings = settings
        self._feed = feed
        self._requesters = requesters
        self._clock = clock

    async def run(self) -> None:
        """Ask for ever, moving to the next source after a failure."""
        position = 0
        while True:
            sources = self._settings.sources
            if not await self.ask(sources[position % len(sources)]):
                position += 1
                await asyncio.sleep(self._settings.pause_s)

    async def ask(self, source: str) -> bool:
        """Ask one source once; return whether its answer was of use."""
        settings = self._settings
        asked_at = self._clock.monotonic()
        held = self._feed.configuration.revision
        answer = await self._requesters.get(source).exchange(
            FetchChanges(held, settings.wait_s),
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
        # A source without news that a witness has is behind: ask another.
        has_news = bool(body.changes) or not self._feed.is_behind()
        return is_applied and has_news
