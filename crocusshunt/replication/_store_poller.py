"""Task that updates a feed from the platform's table service."""

import asyncio
import random
from collections.abc import Callable

from result import Err

from crocusshunt.configuration import Evidence, Head, Repository
from crocusshunt.core import Clock
from crocusshunt.logs import log_event
from crocusshunt.replication._feed import Feed
from crocusshunt.replication._snapshots import SnapshotArchive

POLL_INTERVAL_S = 0.5


def _ignore_head(head: Head) -> None:
    """Do nothing with a head row."""


class StorePoller:
    """Polls the store for the head of the change log and for new changes."""

    def __init__(
        self,
        repository: Repository,
        feed: Feed,
        clock: Clock,
        observe: Callable[[Head], None] = _ignore_head,
        archive: SnapshotArchive | None = None,
    ) -> None:
        """Create a poller; ``run`` starts the polling.

        :param feed: feed that is kept up to date.
        :param observe: called with each head that was read.
        :param archive: provides a snapshot at the start, so that the whole
            change log need not be read.
        """
        self._repository = repository
        self._feed = feed
        self._clock = clock
        self._observe = observe
        self._archive = archive

    async def run(self) -> None:
        """Poll forever, at random intervals of 0.25 s to 0.75 s."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_S * (0.5 + random.random()))

    async def poll(self) -> bool:
        """Read all new changes from the store.

        The head is read again after the changes: once it shows no newer
        revision, it is evidence that the changes in the feed are complete.

        :return: whether the feed has all changes.
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
        previous = self._feed.configuration.revision
        if previous >= revision:
            return True
        changes = await self._repository.read_changes(previous)
        if isinstance(changes, Err) or not changes.ok_value:
            return False
        asked_at = self._clock.monotonic()
        no_evidence = Evidence(revision, float('inf'))
        self._feed.accept_changes(changes.ok_value, no_evidence, asked_at)
        return self._feed.configuration.revision > previous

    async def _load_snapshot(self) -> None:
        if self._archive is None:
            return
        loaded = await self._archive.load()
        if isinstance(loaded, Err):
            error = loaded.err_value.describe()
            log_event('snapshot not loaded, reading all changes', error=error)
            return
        self._feed.install(loaded.ok_value)
