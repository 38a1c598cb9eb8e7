"""Decisions on whom to probe and whom to hold for failed."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from crocusshunt.membership._table import MemberTable
from crocusshunt.membership._topology import Subjects, assign_subjects
from crocusshunt.messages import Member, MemberStatus

_RELAYS = 2
_LOST = frozenset((MemberStatus.unreachable, MemberStatus.dead))


@dataclass(frozen=True, slots=True)
class DetectorSettings:
    """Pace of the failure detector.

    :param near_period_s: time between probes within the region, in seconds.
    :param far_period_s: time between probes of other regions, in seconds.
    :param rejoin_period_s: time between probes of lost hosts, in seconds.
    :param suspicion_s: time from suspicion to the verdict, in seconds.
    """

    near_period_s: float = 1
    far_period_s: float = 1
    rejoin_period_s: float = 5
    suspicion_s: float = 3


class Detector:
    """Chooses the hosts to probe and judges by their answers.

    Only a host of the same region holds another for dead; to the other
    regions it is unreachable, so that two regions that lose each other keep
    each other's hosts and find them again.
    """

    def __init__(
        self,
        table: MemberTable,
        settings: DetectorSettings,
        source: Random,
    ) -> None:
        """Start without subjects.

        :param source: randomness of the choice among lost hosts.
        """
        self.subjects = Subjects()
        self._table = table
        self._settings = settings
        self._source = source
        self._names: frozenset[str] = frozenset()
        self._seen_changes = 0
        self._turns: Counter[str] = Counter()
        self._suspected_s: dict[str, float] = {}

    def choose_near(self) -> Member | None:
        """Return the next host of this region to probe."""
        self._assign()
        return self._choose('near', self.subjects.near)

    def choose_far(self) -> Member | None:
        """Return the next host of another region to probe."""
        self._assign()
        return self._choose('far', self.subjects.far)

    def choose_lost(self) -> Member | None:
        """Return a lost host, to find out whether it is back."""
        me = self._table.me
        lost = sorted(
            member.name
            for member in self._table.members.values()
            if member.status in _LOST and member.name != me.name
        )
        if not lost:
            return None
        return self._table.members[self._source.choice(lost)]

    def choose_relays(self, subject: Member) -> tuple[Member, ...]:
        """Return hosts to probe a subject that did not answer.

        Hosts of different regions come first, since their paths differ.
        """
        names = self.subjects.near + self.subjects.far
        able = [
            self._table.members[name]
            for name in names
            if name != subject.name and self._is_alive(name)
        ]
        self._source.shuffle(able)
        by_region = {member.region: member for member in able}
        rest = [one for one in able if one not in by_region.values()]
        return tuple((*by_region.values(), *rest))[:_RELAYS]

    def accept_answer(self, name: str) -> None:
        """Record that a host answered a probe."""
        self._suspected_s.pop(name, None)

    def accept_failure(self, name: str, now_s: float) -> None:
        """Record that neither a host nor a relay to it answered.

        :param now_s: seconds on the monotonic clock.
        """
        member = self._table.members.get(name)
        if member is None or member.status in _LOST:
            return
        if member.status is MemberStatus.alive:
            self._suspected_s[name] = now_s
            self._table.accuse(name, MemberStatus.suspect)
            return
        since_s = self._suspected_s.setdefault(name, now_s)
        if now_s - since_s >= self._settings.suspicion_s:
            self._judge(member)

    def _judge(self, member: Member) -> None:
        is_near = member.region == self._table.me.region
        verdict = MemberStatus.dead if is_near else MemberStatus.unreachable
        self._suspected_s.pop(member.name, None)
        self._table.accuse(member.name, verdict)

    def _assign(self) -> None:
        if self._table.changes == self._seen_changes:
            return
        self._seen_changes = self._table.changes
        kept = {
            name: member
            for name, member in self._table.members.items()
            if member.status is not MemberStatus.dead
        }
        names = frozenset(kept)
        if names != self._names:
            self._names = names
            me = self._table.me.name
            self.subjects = assign_subjects(me, kept.values())

    def _choose(self, kind: str, names: tuple[str, ...]) -> Member | None:
        """Take turns; every second probe goes to a suspect if there is one."""
        turn = self._take_turn(kind)
        suspects = [name for name in names if name in self._suspected_s]
        if suspects and turn % 2:
            return self._pick(f'{kind} suspects', suspects)
        return self._pick(f'{kind} subjects', names)

    def _pick(self, kind: str, names: Sequence[str]) -> Member | None:
        if not names:
            return None
        name = names[self._take_turn(kind) % len(names)]
        return self._table.members.get(name)

    def _take_turn(self, kind: str) -> int:
        self._turns[kind] += 1
        return self._turns[kind]

    def _is_alive(self, name: str) -> bool:
        member = self._table.members.get(name)
        return member is not None and member.status is MemberStatus.alive
