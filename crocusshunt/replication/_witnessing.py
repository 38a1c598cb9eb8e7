"""Tasks of a process that announces, witnesses and relays testimonies."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from result import Err, Ok

from crocusshunt.configuration import Head, Repository
from crocusshunt.core import Clock
from crocusshunt.messages import (
    AnnounceChange,
    Body,
    ChangeNoted,
    FetchTestimony,
    GivenTestimony,
    Handlers,
    Refusal,
    RequesterPool,
)
from crocusshunt.replication._feed import Feed
from crocusshunt.witnesses import Announcement, Witness, WitnessState

_ANNOUNCE_TIMEOUT_S = 1
_TESTIMONY_TIMEOUT_S = 0.5
_ASK_EVERY_S = 0.5
_SETTLE_EVERY_S = 1


class WitnessAnnouncer:
    """Tells witnesses of changes and counts those that noted them."""

    def __init__(self, requesters: RequesterPool) -> None:
        """Use sockets to the witnesses."""
        self._requesters = requesters

    async def announce(
        self,
        announcement: Announcement,
        witnesses: tuple[Witness, ...],
    ) -> frozenset[str]:
        """Return the names of the witnesses that noted a change."""
        noted = await asyncio.gather(
            *(self._tell(announcement, one.address) for one in witnesses),
        )
        answered = zip(witnesses, noted, strict=True)
        return frozenset(one.name for one, is_noted in answered if is_noted)

    async def _tell(self, announcement: Announcement, address: str) -> bool:
        answer = await self._requesters.get(address).ask(
            AnnounceChange(announcement),
            ChangeNoted,
            _ANNOUNCE_TIMEOUT_S,
        )
        return answer.is_ok()


class WitnessHandler:
    """Keeps announcements and testifies; owns the log of one witness."""

    def __init__(self, repository: Repository, clock: Clock) -> None:
        """Abstain until the head row was rewritten once."""
        self._repository = repository
        self._clock = clock
        self._log = WitnessState()

    def register(self, handlers: Handlers) -> None:
        """Answer announcements and questions for testimony."""
        handlers.register(AnnounceChange)(self._note)
        handlers.register(FetchTestimony)(self._testify)

    def observe(self, head: Head) -> None:
        """Take note of a head that was read from the store."""
        self._log.observe_head(head.revision, head.version)

    async def run(self, is_witness: Callable[[], bool]) -> None:
        """Settle what is open, for ever.

        :param is_witness: whether the configuration names this process.
        """
        while True:
            if is_witness():
                await self.settle()
            await asyncio.sleep(_SETTLE_EVERY_S * (1 + random.random()))

    async def settle(self) -> None:
        """Rewrite the head row where something open must be settled."""
        if not self._log.is_fence_due(self._clock.monotonic()):
            return
        before = await self._repository.read_head()
        if isinstance(before, Ok):
            self.observe(before.ok_value)
        fenced = await self._repository.fence()
        if isinstance(fenced, Ok):
            self.observe(fenced.ok_value)

    async def _note(self, message: AnnounceChange) -> Body:
        now = self._clock.monotonic()
        noted = self._log.record(message.announcement, now)
        if isinstance(noted, Err):
            return Refusal(noted.err_value.code, noted.err_value.describe())
        return ChangeNoted()

    async def _testify(self, question: FetchTestimony) -> Body:
        testimony = self._log.create_testimony()
        if testimony is None:
            return Refusal('witness-abstains')
        return GivenTestimony(testimony)


class TestimonyCollector:
    """Asks the witnesses of the configuration in force."""

    def __init__(
        self,
        feed: Feed,
        requesters: RequesterPool,
        clock: Clock,
    ) -> None:
        """Prepare to ask."""
        self._feed = feed
        self._requesters = requesters
        self._clock = clock

    async def run(self) -> None:
        """Ask all witnesses for ever."""
        while True:
            await self.collect(self._feed.witness_addresses)
            await asyncio.sleep(_ASK_EVERY_S * (0.5 + random.random()))

    async def collect(self, addresses: Iterable[str]) -> None:
        """Ask each witness once."""
        await asyncio.gather(*(self._ask(one) for one in addresses))

    async def _ask(self, address: str) -> None:
        asked_at = self._clock.monotonic()
        answer = await self._requesters.get(address).ask(
            FetchTestimony(),
            GivenTestimony,
            _TESTIMONY_TIMEOUT_S,
        )
        if isinstance(answer, Ok):
            # A witness is identified by where it was reached.
            given = replace(answer.ok_value.testimony, address=address, age=0)
            self._feed.accept_testimonies((given,), asked_at)
