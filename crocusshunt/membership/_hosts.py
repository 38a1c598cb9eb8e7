"""The hosts that a controller knows."""

import asyncio

from result import Ok

from crocusshunt.messages import FetchHosts, HostList, RequesterPool
from crocusshunt.store import HostEntry, HostState

_POLL_S = 1
_TIMEOUT_S = 1


class HostTable:
    """Keeps the newest list of hosts from the first source that answers."""

    def __init__(
        self,
        sources: tuple[str, ...],
        requesters: RequesterPool,
    ) -> None:
        """Start without hosts."""
        self.hosts: tuple[HostEntry, ...] = ()
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
                self.hosts = answer.ok_value.hosts
                return

    def find_live(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are not known to be leaving."""
        return tuple(
            host for host in self.hosts if host.state is HostState.live
        )
