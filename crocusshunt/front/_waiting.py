"""Requests of this host that wait until a server may have a free slot."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from crocusshunt.placement import WaitingLine, WaitingRank


@dataclass(slots=True)
class SlotWaiters:
    """Wakes waiting requests when a slot is released."""

    _line: WaitingLine = field(default_factory=WaitingLine)
    _wakeups: dict[WaitingRank, asyncio.Future[None]] = field(
        default_factory=dict,
    )

    async def wait(
        self, rank: WaitingRank, servers: Collection[str], pause_s: float
    ) -> None:
        """Return once a slot of one of the servers is offered, or later.

        :param pause_s: longest wait, in seconds.
        """
        wakeup: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._wakeups[rank] = wakeup
        self._line.enter(rank, servers)
        try:
            async with asyncio.timeout(pause_s):
                await wakeup
        except TimeoutError:
            return
        finally:
            self._line.leave(rank)
            self._wakeups.pop(rank, None)

    def offer(self, server: str) -> None:
        """Wake the request that a released slot of a server is for."""
        rank = self._line.find_first(server)
        if rank is None:
            return
        self._line.leave(rank)
        wakeup = self._wakeups.pop(rank, None)
        if wakeup is not None and not wakeup.done():
            wakeup.set_result(None)
