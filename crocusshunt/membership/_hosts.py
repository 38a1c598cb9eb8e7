"""The list of hosts that each process keeps."""

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
    """Keeps the newest list of hosts, fetched from any of several processes.

    :ivar hosts: all listed hosts, those that are leaving included.
    :ivar suspects: names of listed hosts that may have failed.
    :ivar version: incremented by each list that differs from the previous.
    """

    def __init__(
        self,
        sources: tuple[str, ...],
        requesters: RequesterPool,
    ) -> None:
        """Start without hosts.

        :param sources: addresses to fetch the list from, in order of
            preference.
        """
        self.hosts: tuple[HostEntry, ...] = ()
        self.suspects: frozenset[str] = frozenset()
        self.version = 0
        self._sources = sources
        self._requesters = requesters

    async def run(self) -> None:
        """Poll the sources for ever."""
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
        """Replace the list by a newer one.

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
    """Return the hosts that may be used by a host of a given region.

    Dead hosts, unreachable hosts of other regions and hosts whose gateway is
    not known are left out. An unreachable host of the given region is listed
    as a suspect only: that status comes from another region, while this one
    may still reach the host.

    :param region: region of the host that gives out the list.
    :param members: the members of that host's table.
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
