"""Probing of other hosts, and answers to their probes."""

import asyncio
from random import Random

from crocusshunt.core import Clock
from crocusshunt.membership._detector import Detector, DetectorSettings
from crocusshunt.membership._table import MemberTable
from crocusshunt.membership._transport import Traffic, Transport
from crocusshunt.messages import (
    Body,
    FetchMembers,
    Member,
    MemberList,
    MemberStatus,
    Probe,
    ProbeAnswer,
    Refusal,
    RelayProbe,
)

_NEAR_TIMEOUT_S = 0.5
_FAR_TIMEOUT_S = 1
_SYNC_PERIOD_S = 15
_NEVER = float('-inf')


class MembershipAgent:
    """Keeps one host's table of members by probes; its pace is its owner's."""

    def __init__(
        self,
        table: MemberTable,
        transport: Transport,
        clock: Clock,
        settings: DetectorSettings,
        source: Random,
    ) -> None:
        """Assemble the parts."""
        self.table = table
        self.traffic = Traffic(transport)
        self.detector = Detector(table, settings, source)
        self._clock = clock
        self._synced_s = _NEVER

    @property
    def has_synced(self) -> bool:
        """Tell whether another host's whole table was compared once."""
        return self._synced_s != _NEVER

    async def probe_same_region(self) -> None:
        """Probe the next host of this region."""
        subject = self.detector.choose_near()
        if subject is not None:
            await self._probe(subject)

    async def probe_other_region(self) -> None:
        """Probe the next host of another region."""
        subject = self.detector.choose_far()
        if subject is not None:
            await self._probe(subject)

    async def probe_lost(self) -> None:
        """Find out whether a lost host is back."""
        subject = self.detector.choose_lost()
        if subject is not None:
            await self._ask(subject)

    async def announce(self) -> None:
        """Tell all probed hosts the news at once, such as a planned stop."""
        names = self.detector.subjects.near + self.detector.subjects.far
        members = (self.table.members.get(name) for name in names)
        await asyncio.gather(
            *(
                self._ask(member)
                for member in members
                if member is not None and _is_staying(member)
            ),
        )

    async def answer_probe(self, probe: Probe) -> Body:
        """Answer a probe with the news of this host."""
        self.traffic.receive(probe)
        self.table.merge_updates(probe.news)
        return self.traffic.reply(
            ProbeAnswer(self.table.digests.whole, self._take_news())
        )

    async def relay_probe(self, question: RelayProbe) -> Body:
        """Probe a host for one that does not reach it."""
        self.traffic.receive(question)
        answer = await self.traffic.exchange(
            question.address,
            Probe(self.table.digests.whole),
            _NEAR_TIMEOUT_S,
        )
        if isinstance(answer, ProbeAnswer):
            return self.traffic.reply(answer)
        return self.traffic.reply(Refusal('host-unreachable', question.address))

    async def list_members(self, question: FetchMembers) -> Body:
        """Answer with the members in which two tables differ."""
        self.traffic.receive(question)
        members = self.table.find_differences(question.digests)
        return self.traffic.reply(MemberList(members))

    async def _probe(self, subject: Member) -> None:
        answered = await self._ask(subject) or await self._ask_relays(subject)
        if answered:
            self.detector.accept_answer(subject.name)
        else:
            now_s = self._clock.monotonic()
            self.detector.accept_failure(subject.name, now_s)

    async def _ask(self, subject: Member) -> bool:
        news = self._take_news()
        if subject.status is not MemberStatus.alive:
            # The host must be told what is believed about it to refute it.
            news = (*news, subject)
        answer = await self.traffic.exchange(
            subject.controller,
            Probe(self.table.digests.whole, news),
            _find_timeout(self.table.me, subject),
        )
        if not isinstance(answer, ProbeAnswer):
            return False
        self.table.merge_updates(answer.news)
        if answer.digest != self.table.digests.whole:
            await self._sync(subject)
        return True

    async def _ask_relays(self, subject: Member) -> bool:
        for relay in self.detector.choose_relays(subject):
            answer = await self.traffic.exchange(
                relay.controller,
                RelayProbe(subject.controller),
                _NEAR_TIMEOUT_S + _find_timeout(self.table.me, relay),
            )
            if isinstance(answer, ProbeAnswer):
                self.table.merge_updates(answer.news)
                return True
        return False

    async def _sync(self, peer: Member) -> None:
        """Fetch what differs, seldom, since news mostly brings it."""
        now_s = self._clock.monotonic()
        if now_s - self._synced_s < _SYNC_PERIOD_S:
            return
        answer = await self.traffic.exchange(
            peer.controller,
            FetchMembers(self.table.digests.parts),
            _FAR_TIMEOUT_S,
        )
        if isinstance(answer, MemberList):
            self._synced_s = now_s
            self.table.merge_updates(answer.members)

    def _take_news(self) -> tuple[Member, ...]:
        return self.table.gossip.take(len(self.table.members))


def _is_staying(member: Member) -> bool:
    return member.status is MemberStatus.alive and not member.is_leaving


def _find_timeout(me: Member, peer: Member) -> float:
    return _NEAR_TIMEOUT_S if peer.region == me.region else _FAR_TIMEOUT_S
