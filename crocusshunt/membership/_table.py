"""One host's records of all members."""

from collections.abc import Iterable, Mapping

import msgspec

from crocusshunt.membership._digests import PartDigests, find_part
from crocusshunt.membership._gossip import GossipQueue
from crocusshunt.membership._precedence import create_member, merge_members
from crocusshunt.messages import Member, MemberStatus
from crocusshunt.store import HostEntry, HostState

_LOST_STATUSES = frozenset((MemberStatus.unreachable, MemberStatus.dead))


class MemberTable:
    """Merges updates and refutes wrong ones about this host.

    An update that would take precedence over the record of this host itself is
    refuted: the host raises its own incarnation above it.

    :ivar local_member: this host.
    :ivar gossip: updates to send to other hosts.
    :ivar digests: digests of the records.
    :ivar change_count: number of changes of the table so far.

    >>> local = Member('h1', 'addis', 'a', '', 'tcp://10.0.0.1:1', 5)
    >>> table = MemberTable(local)
    >>> claim = msgspec.structs.replace(local, status=MemberStatus.dead)
    >>> table.merge_updates((claim,))
    >>> table.local_member.incarnation, table.local_member.status.name
    (6, 'alive')
    """

    def __init__(self, local_member: Member) -> None:
        """Start with this host alone.

        :param local_member: this host, with its incarnation at this start.
        """
        self.local_member = local_member
        self.gossip = GossipQueue()
        self.digests = PartDigests()
        self.change_count = 0
        self._members: dict[str, Member] = {}
        self._listed: Mapping[str, HostEntry] = {}
        self._store_member(local_member)
        self.gossip.put(local_member)

    @property
    def members(self) -> Mapping[str, Member]:
        """Return all members by name, the dead included."""
        return self._members

    def merge_updates(self, updates: Iterable[Member]) -> None:
        """Merge the records that another host sent."""
        for member in updates:
            if member.name == self.local_member.name:
                self._refute(member)
            else:
                self._merge_member(member)

    def record_status(self, name: str, status: MemberStatus) -> None:
        """Record the status that this host found for a failing one."""
        member = self._members[name]
        self._merge_member(msgspec.structs.replace(member, status=status))

    def set_leaving(self, *, is_leaving: bool = True) -> None:
        """Record that this host is leaving, or takes requests again.

        Within one incarnation leaving takes precedence, so a host that takes
        requests again starts another one.
        """
        self._replace_local_member(
            msgspec.structs.replace(
                self.local_member,
                incarnation=self.local_member.incarnation + int(not is_leaving),
                is_leaving=is_leaving,
            ),
        )

    def merge_listing(self, hosts: tuple[HostEntry, ...]) -> None:
        """Merge the platform's list, which may be out of date.

        Only entries that changed since the previous list are merged, so an old
        entry does not overrule a host that has restarted meanwhile. Unreachable
        and dead hosts that are no longer listed are removed.

        :param hosts: the list; an empty one is taken for a fault and ignored.
        """
        if not hosts:
            return
        previous = self._listed
        self._listed = {host.name: host for host in hosts}
        for host in hosts:
            if previous.get(host.name) != host:
                self._merge_listed(host)
        for name, member in tuple(self._members.items()):
            if name not in self._listed and member.status in _LOST_STATUSES:
                self._remove(name)

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

    def _merge_listed(self, entry: HostEntry) -> None:
        listed = create_member(entry)
        current = self._members.get(entry.name)
        if current is None:
            # Every host polls the list, so this needs no gossip.
            self._store_member(listed)
            return
        is_leaving = entry.state is HostState.leaving
        if entry.name == self.local_member.name:
            self._set_gateway(entry.gateway)
        elif entry.controller == current.controller or not current.incarnation:
            leaving = current.is_leaving or is_leaving
            self._merge_member(
                msgspec.structs.replace(
                    listed,
                    incarnation=current.incarnation,
                    is_leaving=leaving,
                    status=current.status,
                ),
            )

    def _set_gateway(self, gateway: str) -> None:
        if gateway != self.local_member.gateway:
            self._replace_local_member(
                msgspec.structs.replace(self.local_member, gateway=gateway)
            )

    def _merge_member(self, received: Member) -> None:
        current = self._members.get(received.name)
        merged = (
            received if current is None else merge_members(current, received)
        )
        if merged != current:
            self._store_member(merged)
            self.gossip.put(merged)

    def _refute(self, claim: Member) -> None:
        if merge_members(self.local_member, claim) != self.local_member:
            incarnation = (
                max(claim.incarnation, self.local_member.incarnation) + 1
            )
            self._replace_local_member(
                msgspec.structs.replace(
                    self.local_member, incarnation=incarnation
                ),
            )

    def _replace_local_member(self, member: Member) -> None:
        self.local_member = member
        self._store_member(member)
        self.gossip.put(member)

    def _store_member(self, member: Member) -> None:
        current = self._members.get(member.name)
        if current is not None:
            self.digests.toggle(current)
        self.digests.toggle(member)
        self._members[member.name] = member
        self.change_count += 1

    def _remove(self, name: str) -> None:
        self.digests.toggle(self._members.pop(name))
        self.change_count += 1
