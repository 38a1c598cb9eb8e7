"""Failure detection: which hosts to probe and which to declare failed."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from crocusshunt.membership._table import MemberTable
from crocusshunt.membership._topology import ProbeTargets, assign_probe_targets
from crocusshunt.messages import Member, MemberStatus

_RELAY_COUNT = 2
_LOST_STATUSES = frozenset((MemberStatus.unreachable, MemberStatus.dead))


@dataclass(frozen=True, slots=True)
class DetectorSettings:
    """Timing of the failure detector.

    :param same_region_period_s: time between probes of hosts of the same
        region, in seconds.
    :param other_region_period_s: time between probes of hosts of other
        regions, in seconds.
    :param rejoin_period_s: time between probes of unreachable or dead hosts, in
        seconds.
    :param suspicion_s: time for which a host stays suspected before it is
        declared unreachable or dead, in seconds.
    """

    same_region_period_s: float = 1
    other_region_period_s: float = 1
    rejoin_period_s: float = 5
    suspicion_s: float = 3


class Detector:
    """Chooses the hosts to probe and decides from their answers.

    A host that fails a probe becomes suspect. If it still fails after the
    suspicion time, it is declared dead by a host of its own region and
    unreachable by a host of another one. So two regions that are cut off from
    each other keep each other's hosts in their tables and find them again.
    """

    def __init__(
        self,
        table: MemberTable,
        settings: DetectorSettings,
        random_source: Random,
    ) -> None:
        """Start without hosts to probe.

        :param random_source: source of the random choice of lost hosts and of
            relays.
        """
        self.targets = ProbeTargets()
        self._table = table
        self._settings = settings
        self._random_source = random_source
        self._candidates: frozenset[str] = frozenset()
        self._seen_change_count = 0
        self._turn_counts: Counter[str] = Counter()
        self._suspected_since_s: dict[str, float] = {}

    def choose_same_region(self) -> Member | None:
        """Return the next host of this region to probe."""
        self._update_targets()
        return self._choose_target('same region', self.targets.same_region)

    def choose_other_region(self) -> Member | None:
        """Return the next host of another region to probe."""
        self._update_targets()
        return self._choose_target('other region', self.targets.other_regions)

    def choose_lost(self) -> Member | None:
        """Return a random host that was declared unreachable or dead."""
        local_member = self._table.local_member
        lost = sorted(
            member.name
            for member in self._table.members.values()
            if member.status in _LOST_STATUSES
            and member.name != local_member.name
        )
        if not lost:
            return None
        return self._table.members[self._random_source.choice(lost)]

    def choose_relays(self, target: Member) -> tuple[Member, ...]:
        """Return hosts that can probe a target that did not answer.

        One host of each region comes first, since the network paths of
        different regions differ.
        """
        names = self.targets.same_region + self.targets.other_regions
        alive_members = [
            self._table.members[name]
            for name in names
            if name != target.name and self._is_alive(name)
        ]
        self._random_source.shuffle(alive_members)
        by_region = {member.region: member for member in alive_members}
        rest = [one for one in alive_members if one not in by_region.values()]
        return tuple((*by_region.values(), *rest))[:_RELAY_COUNT]

    def record_answer(self, name: str) -> None:
        """Record that a host answered a probe."""
        self._suspected_since_s.pop(name, None)

    def record_failure(self, name: str, now_s: float) -> None:
        """Record that a host answered neither directly nor through a relay.

        :param now_s: seconds on the monotonic clock.
        """
        member = self._table.members.get(name)
        if member is None or member.status in _LOST_STATUSES:
            return
        if member.status is MemberStatus.alive:
            self._suspected_since_s[name] = now_s
            self._table.record_status(name, MemberStatus.suspect)
            return
        suspected_since_s = self._suspected_since_s.setdefault(name, now_s)
        if now_s - suspected_since_s >= self._settings.suspicion_s:
            self._declare_lost(member)

    def _declare_lost(self, member: Member) -> None:
        is_same_region = member.region == self._table.local_member.region
        status = (
            MemberStatus.dead if is_same_region else MemberStatus.unreachable
        )
        self._suspected_since_s.pop(member.name, None)
        self._table.record_status(member.name, status)

    def _update_targets(self) -> None:
        if self._table.change_count == self._seen_change_count:
            return
        self._seen_change_count = self._table.change_count
        candidates = {
            name: member
            for name, member in self._table.members.items()
            if member.status is not MemberStatus.dead
        }
        names = frozenset(candidates)
        if names != self._candidates:
            self._candidates = names
            own_name = self._table.local_member.name
            self.targets = assign_probe_targets(own_name, candidates.values())

    def _choose_target(
        self, kind: str, names: tuple[str, ...]
    ) -> Member | None:
        """Return the next host; every second one is a suspect, if any."""
        turn = self._take_turn(kind)
        suspects = [name for name in names if name in self._suspected_since_s]
        if suspects and turn % 2:
            return self._pick_next(f'{kind} suspects', suspects)
        return self._pick_next(f'{kind} targets', names)

    def _pick_next(self, kind: str, names: Sequence[str]) -> Member | None:
        if not names:
            return None
        name = names[self._take_turn(kind) % len(names)]
        return self._table.members.get(name)

    def _take_turn(self, kind: str) -> int:
        self._turn_counts[kind] += 1
        return self._turn_counts[kind]

    def _is_alive(self, name: str) -> bool:
        member = self._table.members.get(name)
        return member is not None and member.status is MemberStatus.alive
