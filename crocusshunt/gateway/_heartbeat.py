"""Heartbeats from the gateway to its host's controller."""

import asyncio

from crocusshunt.membership import HEARTBEAT_PERIOD_S
from crocusshunt.messages import GatewayHeartbeat, HeartbeatNoted, RequesterPool

_TIMEOUT_S = 1


class HeartbeatSender:
    """Tells the controller that the gateway runs or is stopping."""

    def __init__(self, controller: str, requesters: RequesterPool) -> None:
        """Prepare to send heartbeats to the controller.

        :param controller: address of this host's controller.
        """
        self._controller = controller
        self._requesters = requesters
        self._leaving = asyncio.Event()

    async def run(self) -> None:
        """Send heartbeats periodically, and at once when the stop begins."""
        while not self._leaving.is_set():
            await self._send()
            await self._pause()
        while True:
            await self._send()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def announce_leave(self) -> None:
        """Report from now on that the gateway is stopping."""
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
