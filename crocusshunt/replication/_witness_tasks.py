"""Tasks that announce changes to witnesses, act as one, or ask them."""

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
_COLLECT_INTERVAL_S = 0.5
_SETTLE_INTERVAL_S = 1


class WitnessAnnouncer:
    """Announces changes to witnesses before they are written."""

    def __init__(self, requesters: RequesterPool) -> None:
        """Use a pool of connections to the witnesses."""
        self._requesters = requesters

    async def announce(
        self,
        announcement: Announcement,
        witnesses: tuple[Witness, ...],
    ) -> frozenset[str]:
        """Announce a change; return the witnesses that acknowledged it.

        :return: names of the witnesses.
        """
        acknowledged = await asyncio.gather(
            *(
                self._announce_to(announcement, one.address)
                for one in witnesses
            ),
        )
        answers = zip(witnesses, acknowledged, strict=True)
        return frozenset(one.name for one, is_acked in answers if is_acked)

    async def _announce_to(
        self, announcement: Announcement, address: str
    ) -> bool:
        answer = await self._requesters.get(address).ask(
            AnnounceChange(announcement),
            ChangeNoted,
            _ANNOUNCE_TIMEOUT_S,
        )
        return answer.is_ok()


class WitnessHandler:
    """Answers the messages to a witness; owns the state of that witness."""

    def __init__(self, repository: Repository, clock: Clock) -> None:
        """Create a witness that refuses to testify at first.

        It testifies once the head row was rewritten; see
        :class:`crocusshunt.witnesses.WitnessState`.
        """
        self._repository = repository
        self._clock = clock
        self._state = WitnessState()

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of announcements and testimony requests."""
        handlers.register(AnnounceChange)(self._record_announcement)
        handlers.register(FetchTestimony)(self._answer_testimony)

    def observe(self, head: Head) -> None:
        """Process a head row that was read from the store."""
        self._state.observe_head(head.revision, head.version)

    async def run(self, is_witness: Callable[[], bool]) -> None:
        """Settle writes forever, at random intervals of 1 s to 2 s.

        :param is_witness: tells whether the configuration in force lists this
            process as a witness.
        """
        while True:
            if is_witness():
                await self.settle_writes()
            await asyncio.sleep(_SETTLE_INTERVAL_S * (1 + random.random()))

    async def settle_writes(self) -> None:
        """Rewrite the head row if announced writes have to be settled.

        A write that is conditional on an older version of the head row can
        no longer take effect afterwards.
        """
        if not self._state.is_fence_due(self._clock.monotonic()):
            return
        before = await self._repository.read_head()
        if isinstance(before, Ok):
            self.observe(before.ok_value)
        fenced = await self._repository.fence()
        if isinstance(fenced, Ok):
            self.observe(fenced.ok_value)

    async def _record_announcement(self, message: AnnounceChange) -> Body:
        now = self._clock.monotonic()
        recorded = self._state.record(message.announcement, now)
        if isinstance(recorded, Err):
            return Refusal(
                recorded.err_value.code,
                recorded.err_value.describe(),
            )
        return ChangeNoted()

    async def _answer_testimony(self, request: FetchTestimony) -> Body:
        testimony = self._state.create_testimony()
        if testimony is None:
            return Refusal('witness-abstains')
        return GivenTestimony(testimony)


class TestimonyCollector:
    """Collects testimonies of the configured witnesses for a feed."""

    def __init__(
        self,
        feed: Feed,
        requesters: RequesterPool,
        clock: Clock,
    ) -> None:
        """Create a collector; ``run`` starts the requests."""
        self._feed = feed
        self._requesters = requesters
        self._clock = clock

    async def run(self) -> None:
        """Ask all witnesses forever, every 0.25 s to 0.75 s at random."""
        while True:
            await self.collect(self._feed.witness_addresses)
            await asyncio.sleep(_COLLECT_INTERVAL_S * (0.5 + random.random()))

    async def collect(self, addresses: Iterable[str]) -> None:
        """Ask each witness once, all at the same time."""
        await asyncio.gather(*(self._collect_from(one) for one in addresses))

    async def _collect_from(self, address: str) -> None:
        asked_at = self._clock.monotonic()
        answer = await self._requesters.get(address).ask(
            FetchTestimony(),
            GivenTestimony,
            _TESTIMONY_TIMEOUT_S,
        )
        if isinstance(answer, Ok):
            # The address at which a witness was reached identifies it.
            testimony = replace(
                answer.ok_value.testimony,
                address=address,
                age=0,
            )
            self._feed.accept_testimonies((testimony,), asked_at)
