"""Keeps a feed up to date from the platform's table service."""

import asyncio
import random
from collections.abc import Callable

from result import Err

from crocusshunt.configuration import Evidence, Head, Repository
from crocusshunt.core import Clock
from crocusshunt.logs import log_event
from crocusshunt.replication._archive import Archive
from crocusshunt.replication._feed import Feed

POLL_INTERVAL_S = 0.5


def _ignore(head: Head) -> None:
    """Take no note of a head."""


class StorePoller:
    """Task that reads the head of the chain and the changes behind it."""

    def __init__(
        self,
        repository: Repository,
        feed: Feed,
        clock: Clock,
        observe: Callable[[Head], None] = _ignore,
        archive: Archive | None = None,
    ) -> None:
        """Prepare to poll.

        :param archive: snapshots that spare a start the whole log.
        :param observe: called with each head that was read.
        """
        self._repository = repository
        self._feed = feed
        self._clock = clock
        self._observe = observe
        self._archive = archive

    async def run(self) -> None:
        """Poll for ever, with jitter."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_S * (0.5 + random.random()))

    async def poll(self) -> bool:
        """Read the store once; return whether all of it was read.

        The head is read last, so that it vouches for changes already held.
        """
        while True:
            asked_at = self._clock.monotonic()
            head = await self._repository.read_head()
            if isinstance(head, Err):
                return False
            self._observe(head.ok_value)
            revision = head.ok_value.revision
            if revision <= self._feed.configuration.revision:
                self._feed.accept_changes((), Evidence(revision, 0), asked_at)
                return True
            if not await self._catch_up(revision):
                return False

    async def _catch_up(self, revision: int) -> bool:
        if not self._feed.configuration.revision:
            await self._load_snapshot()
        held = self._feed.configuration.revision
        if held >= revision:
            return True
        changes = await self._repository.read_changes(held)
        if isinstance(changes, Err) or not changes.ok_value:
            return False
        asked_at = self._clock.monotonic()
        stale = Evidence(revision, float('inf'))
        self._feed.accept_changes(changes.ok_value, stale, asked_at)
        return self._feed.configuration.revision > held

    async def _load_snapshot(self) -> None:
        if self._archive is None:
            return
        loaded = await self._archive.load()
        if isinstance(loaded, Err):
            error = loaded.err_value.describe()
            log_event('no snapshot used', error=error)
            return
        self._feed.install(loaded.ok_value)
