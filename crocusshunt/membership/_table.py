"""Everything that a host believes of all hosts."""

from collections.abc import Iterable, Mapping

import msgspec

from crocusshunt.membership._digests import PartDigests, find_part
from crocusshunt.membership._news import GossipQueue
from crocusshunt.membership._precedence import create_member, merge_members
from crocusshunt.messages import Member, MemberStatus
from crocusshunt.store import HostEntry, HostState

_LOST = frozenset((MemberStatus.unreachable, MemberStatus.dead))


class MemberTable:
    """Merges what is heard, and refutes what is wrong about this host.

    >>> me = Member('h1', 'addis', 'a', '', 'tcp://10.0.0.1:1', 5)
    >>> table = MemberTable(me)
    >>> rumour = msgspec.structs.replace(me, status=MemberStatus.dead)
    >>> table.merge_updates((rumour,))
    >>> table.me.incarnation, table.me.status.name
    (6, 'alive')
    """

    def __init__(self, me: Member) -> None:
        """Start with this host alone.

        :param me: this host, with the incarnation of this start.
        """
        self.me = me
        self.gossip = GossipQueue()
        self.digests = PartDigests()
        self.changes = 0
        self._members: dict[str, Member] = {}
        self._listed: Mapping[str, HostEntry] = {}
        self._put(me)
        self.gossip.put(me)

    @property
    def members(self) -> Mapping[str, Member]:
        """Return all members by name, the dead included."""
        return self._members

    def merge_updates(self, news: Iterable[Member]) -> None:
        """Merge what another host believes."""
        for member in news:
            if member.name == self.me.name:
                self._refute(member)
            else:
                self._merge(member)

    def accuse(self, name: str, status: MemberStatus) -> None:
        """Record that this host found another one failing."""
        member = self._members[name]
        self._merge(msgspec.structs.replace(member, status=status))

    def leave(self, *, is_leaving: bool = True) -> None:
        """Record that this host is leaving, or takes requests again.

        Within one incarnation leaving wins, so coming back starts another.
        """
        self._replace_me(
            msgspec.structs.replace(
                self.me,
                incarnation=self.me.incarnation + int(not is_leaving),
                is_leaving=is_leaving,
            ),
        )

    def merge_listing(self, hosts: tuple[HostEntry, ...]) -> None:
        """Merge the platform's list, which lags.

        What the list said before is not repeated, so an old entry does not
        overrule a host that restarted meanwhile. A lost host that has left
        the list is forgotten.

        :param hosts: the list; an empty one is taken for a fault.
        """
        if not hosts:
            return
        before = self._listed
        self._listed = {host.name: host for host in hosts}
        for host in hosts:
            if before.get(host.name) != host:
                self._merge_entry(host)
        for name, member in tuple(self._members.items()):
            if name not in self._listed and member.status in _LOST:
                self._forget(name)

    def find_differences(self, parts: tuple[int, ...]) -> tuple[Member, ...]:
        """Return the members of the parts in which two tables differ.

        :param parts: digests of the other table's parts.
        """
        differing = self.digests.find_differing(parts)
        return tuple(
            member
            for name, member in self._members.items()
            if find_part(name) in differing
        )

    def _merge_entry(self, entry: HostEntry) -> None:
        listed = create_member(entry)
        held = self._members.get(entry.name)
        if held is None:
            # Every host gets the list, so this is no news.
            self._put(listed)
            return
        is_leaving = entry.state is HostState.leaving
        if entry.name == self.me.name:
            self._learn_gateway(entry.gateway)
        elif entry.controller == held.controller or not held.incarnation:
            leaving = held.is_leaving or is_leaving
            self._merge(
                msgspec.structs.replace(
                    listed,
                    incarnation=held.incarnation,
                    is_leaving=leaving,
                    status=held.status,
                ),
            )

    def _learn_gateway(self, gateway: str) -> None:
        if gateway != self.me.gateway:
            self._replace_me(msgspec.structs.replace(self.me, gateway=gateway))

    def _merge(self, heard: Member) -> None:
        held = self._members.get(heard.name)
        merged = heard if held is None else merge_members(held, heard)
        if merged != held:
            self._put(merged)
            self.gossip.put(merged)

    def _refute(self, rumour: Member) -> None:
        if merge_members(self.me, rumour) != self.me:
            incarnation = max(rumour.incarnation, self.me.incarnation) + 1
            self._replace_me(
                msgspec.structs.replace(self.me, incarnation=incarnation),
            )

    def _replace_me(self, member: Member) -> None:
        self.me = member
        self._put(member)
        self.gossip.put(member)

    def _put(self, member: Member) -> None:
        held = self._members.get(member.name)
        if held is not None:
            self.digests.toggle(held)
        self.digests.toggle(member)
        self._members[member.name] = member
        self.changes += 1

    def _forget(self, name: str) -> None:
        self.digests.toggle(self._members.pop(name))
        self.changes += 1
