"""Heartbeats of the gateway to its host's controller."""

import asyncio

from crocusshunt.membership import HEARTBEAT_PERIOD_S
from crocusshunt.messages import GatewayHeartbeat, HeartbeatNoted, RequesterPool

_TIMEOUT_S = 1


class HeartbeatSender:
    """Tells the controller that the gateway runs, or that it leaves."""

    def __init__(self, controller: str, requesters: RequesterPool) -> None:
        """Prepare to send.

        :param controller: address of this host's controller.
        """
        self._controller = controller
        self._requesters = requesters
        self._leaving = asyncio.Event()

    async def run(self) -> None:
        """Send heartbeats for ever, the first after a leave at once."""
        while not self._leaving.is_set():
            await self._send()
            await self._pause()
        while True:
            await self._send()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def announce_leave(self) -> None:
        """Say from now on that the gateway leaves."""
        self._leaving.set()

    async def _pause(self) -> None:
        try:
            await asyncio.wait_for(self._leaving.wait(), HEARTBEAT_PERIOD_S)
        except TimeoutError:
            return

    async def _send(self) -> None:
        await self._requesters.get(self._controller).ask(
            GatewayHeartbeat(self._leaving.is_set()),
            HeartbeatNoted,
            _TIMEOUT_S,
        )
