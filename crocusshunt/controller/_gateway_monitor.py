"""Takes a host out of the locators' answers while its gateway is down."""

import asyncio

from crocusshunt.core import Clock
from crocusshunt.logs import log_event
from crocusshunt.membership import (
    HEARTBEAT_PERIOD_S,
    GatewayPresence,
    MembershipService,
)
from crocusshunt.messages import Body, GatewayHeartbeat, HeartbeatNoted


class GatewayMonitor:
    """Watches the heartbeats of this host's gateway.

    While the gateway is leaving or silent, the host announces to the other
    hosts that it is leaving.
    """

    def __init__(self, membership: MembershipService, clock: Clock) -> None:
        """Start before the first heartbeat."""
        self._membership = membership
        self._clock = clock
        self._presence = GatewayPresence()
        self._is_unavailable = False

    async def answer(self, heartbeat: GatewayHeartbeat) -> Body:
        """Record a heartbeat and announce at once what it changes."""
        self._presence.record_heartbeat(
            self._clock.monotonic(),
            is_leaving=heartbeat.is_leaving,
        )
        await self.check()
        return HeartbeatNoted()

    async def run(self) -> None:
        """Check for ever whether heartbeats still arrive."""
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            await self.check()

    async def check(self) -> None:
        """Announce that the host is leaving or back if its gateway is."""
        is_unavailable = self._presence.is_unavailable(self._clock.monotonic())
        if is_unavailable == self._is_unavailable:
            return
        self._is_unavailable = is_unavailable
        log_event('gateway availability changed', is_unavailable=is_unavailable)
        await self._membership.set_leaving(is_leaving=is_unavailable)
