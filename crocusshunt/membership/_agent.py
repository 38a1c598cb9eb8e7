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

_SAME_REGION_TIMEOUT_S = 0.5
_OTHER_REGION_TIMEOUT_S = 1
_SYNC_PERIOD_S = 15
_NEVER = float('-inf')


class MembershipAgent:
    """Updates one host's table of members by probing other hosts.

    Its owner calls the probe methods and so sets the time between probes.
    """

    def __init__(
        self,
        table: MemberTable,
        transport: Transport,
        clock: Clock,
        settings: DetectorSettings,
        random_source: Random,
    ) -> None:
        """Start without having probed any host.

        :param random_source: source of the random choice of hosts.
        """
        self.table = table
        self.traffic = Traffic(transport)
        self.detector = Detector(table, settings, random_source)
        self._clock = clock
        self._last_sync_s = _NEVER

    @property
    def has_synced(self) -> bool:
        """Tell whether the table was ever compared with another host's."""
        return self._last_sync_s != _NEVER

    async def probe_same_region(self) -> None:
        """Probe the next host of this region."""
        target = self.detector.choose_same_region()
        if target is not None:
            await self._probe(target)

    async def probe_other_region(self) -> None:
        """Probe the next host of another region."""
        target = self.detector.choose_other_region()
        if target is not None:
            await self._probe(target)

    async def probe_lost(self) -> None:
        """Probe an unreachable or dead host, in case it is back."""
        target = self.detector.choose_lost()
        if target is not None:
            await self._send_probe(target)

    async def announce(self) -> None:
        """Send pending updates, such as a planned stop, to all targets."""
        names = (
            self.detector.targets.same_region
            + self.detector.targets.other_regions
        )
        members = (self.table.members.get(name) for name in names)
        await asyncio.gather(
            *(
                self._send_probe(member)
                for member in members
                if member is not None and _is_staying(member)
            ),
        )

    async def answer_probe(self, probe: Probe) -> Body:
        """Merge the updates of a probe and answer with those of this host."""
        self.traffic.count_received(probe)
        self.table.merge_updates(probe.news)
        return self.traffic.count_sent(
            ProbeAnswer(self.table.digests.whole, self._take_updates())
        )

    async def relay_probe(self, request: RelayProbe) -> Body:
        """Probe a host on behalf of one that cannot reach it."""
        self.traffic.count_received(request)
        answer = await self.traffic.exchange(
            request.address,
            Probe(self.table.digests.whole),
            _SAME_REGION_TIMEOUT_S,
        )
        if isinstance(answer, ProbeAnswer):
            return self.traffic.count_sent(answer)
        return self.traffic.count_sent(
            Refusal('host-unreachable', request.address)
        )

    async def list_members(self, request: FetchMembers) -> Body:
        """Return the members of the parts that differ from those asked with."""
        self.traffic.count_received(request)
        members = self.table.find_differences(request.digests)
        return self.traffic.count_sent(MemberList(members))

    async def _probe(self, target: Member) -> None:
        answered = await self._send_probe(
            target
        ) or await self._probe_through_relays(target)
        if answered:
            self.detector.record_answer(target.name)
        else:
            now_s = self._clock.monotonic()
            self.detector.record_failure(target.name, now_s)

    async def _send_probe(self, target: Member) -> bool:
        updates = self._take_updates()
        if target.status is not MemberStatus.alive:
            # The host can refute a wrong status only if it is told of it.
            updates = (*updates, target)
        answer = await self.traffic.exchange(
            target.controller,
            Probe(self.table.digests.whole, updates),
            _find_timeout(self.table.local_member, target),
        )
        if not isinstance(answer, ProbeAnswer):
            return False
        self.table.merge_updates(answer.news)
        if answer.digest != self.table.digests.whole:
            await self._fetch_differences(target)
        return True

    async def _probe_through_relays(self, target: Member) -> bool:
        for relay in self.detector.choose_relays(target):
            answer = await self.traffic.exchange(
                relay.controller,
                RelayProbe(target.controller),
                _SAME_REGION_TIMEOUT_S
                + _find_timeout(self.table.local_member, relay),
            )
            if isinstance(answer, ProbeAnswer):
                self.table.merge_updates(answer.news)
                return True
        return False

    async def _fetch_differences(self, peer: Member) -> None:
        """Fetch the members that differ, at most once in 15 seconds.

        Gossip normally delivers all updates, so this is seldom needed.
        """
        now_s = self._clock.monotonic()
        if now_s - self._last_sync_s < _SYNC_PERIOD_S:
            return
        answer = await self.traffic.exchange(
            peer.controller,
            FetchMembers(self.table.digests.parts),
            _OTHER_REGION_TIMEOUT_S,
        )
        if isinstance(answer, MemberList):
            self._last_sync_s = now_s
            self.table.merge_updates(answer.members)

    def _take_updates(self) -> tuple[Member, ...]:
        return self.table.gossip.take(len(self.table.members))


def _is_staying(member: Member) -> bool:
    return member.status is MemberStatus.alive and not member.is_leaving


def _find_timeout(local_member: Member, peer: Member) -> float:
    return (
        _SAME_REGION_TIMEOUT_S
        if peer.region == local_member.region
        else _OTHER_REGION_TIMEOUT_S
    )
