"""Takes a host off the locators while its gateway is gone."""

import asyncio

from crocusshunt.core import Clock
from crocusshunt.logs import log_event
from crocusshunt.membership import (
    HEARTBEAT_PERIOD_S,
    GatewayPresence,
    MembershipService,
)
from crocusshunt.messages import Body, GatewayHeartbeat, HeartbeatNoted


class PresenceWatch:
    """Turns heartbeats of the gateway into leaving and coming back."""

    def __init__(self, membership: MembershipService, clock: Clock) -> None:
        """Start without a heartbeat."""
        self._membership = membership
        self._clock = clock
        self._presence = GatewayPresence()
        self._is_gone = False

    async def answer(self, heartbeat: GatewayHeartbeat) -> Body:
        """Keep a heartbeat; what it changes is spread at once."""
        self._presence.note(
            self._clock.monotonic(),
            is_leaving=heartbeat.is_leaving,
        )
        await self.check()
        return HeartbeatNoted()

    async def run(self) -> None:
        """Check for ever whether the heartbeats go on."""
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            await self.check()

    async def check(self) -> None:
        """Leave or come back if the gateway did."""
        is_gone = self._presence.is_gone(self._clock.monotonic())
        if is_gone == self._is_gone:
            return
        self._is_gone = is_gone
        log_event('presence of the gateway changed', is_gone=is_gone)
        await self._membership.leave(is_leaving=is_gone)
