"""The hosts that a process knows."""

import asyncio
from collections.abc import Iterable

from result import Ok

from crocusshunt.membership._precedence import create_entry
from crocusshunt.messages import (
    FetchHosts,
    HostList,
    Member,
    MemberStatus,
    RequesterPool,
)
from crocusshunt.store import HostEntry, HostState

_POLL_S = 1
_TIMEOUT_S = 1


class HostTable:
    """Keeps the newest list of hosts from the first source that answers.

    :ivar version: grows with each list that differs from the one before.
    """

    def __init__(
        self,
        sources: tuple[str, ...],
        requesters: RequesterPool,
    ) -> None:
        """Start without hosts."""
        self.hosts: tuple[HostEntry, ...] = ()
        self.suspects: frozenset[str] = frozenset()
        self.version = 0
        self._sources = sources
        self._requesters = requesters

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            await self.poll()
            await asyncio.sleep(_POLL_S)

    async def poll(self) -> None:
        """Ask the sources in turn until one answers."""
        for source in self._sources:
            answer = await self._requesters.get(source).ask(
                FetchHosts(),
                HostList,
                _TIMEOUT_S,
            )
            if isinstance(answer, Ok) and answer.ok_value.hosts:
                self.replace(answer.ok_value)
                return

    def replace(self, listing: HostList) -> None:
        """Take a newer list.

        :param listing: the hosts, and which of them may have failed.
        """
        suspects = frozenset(listing.suspects)
        if (listing.hosts, suspects) != (self.hosts, self.suspects):
            self.hosts = listing.hosts
            self.suspects = suspects
            self.version += 1

    def find_live(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are not known to be leaving."""
        return tuple(
            host for host in self.hosts if host.state is HostState.live
        )


def list_usable(region: str, members: Iterable[Member]) -> HostList:
    """Return the hosts that are not held for lost, seen from a region.

    What another region cannot reach may well be reached from here, so its
    verdict counts for a host of this region as mere suspicion.

    :param region: region of the host that answers.
    :param members: everything believed of all hosts.
    """
    usable = [
        member
        for member in members
        if member.gateway and _is_usable(region, member)
    ]
    hosts = tuple(sorted(create_entry(member) for member in usable))
    suspects = tuple(
        sorted(
            member.name
            for member in usable
            if member.status is not MemberStatus.alive
        ),
    )
    return HostList(hosts, suspects)


def _is_usable(region: str, member: Member) -> bool:
    if member.status is MemberStatus.unreachable:
        return member.region == region
    return member.status is not MemberStatus.dead
