"""The end of a server's connections at a planned stop."""

import asyncio

from aiohttp import web

from crocusshunt.core import Clock
from crocusshunt.front._handler import InFlight

_POLL_S = 0.05
# A request whose bytes are already here is counted within this.
_QUIET_POLLS = 4


async def drain_runner(
    runner: web.ServerRunner,
    in_flight: InFlight,
    until: float,
    clock: Clock,
) -> None:
    """Stop listening, close idle connections, and let the others finish.

    A connection may just have got a request that is not counted yet, so
    one quiet moment is not enough.

    :param until: latest end, monotonic seconds.
    """
    for site in tuple(runner.sites):
        await site.stop()
    server = runner.server
    if server is None:
        return
    server.pre_shutdown()
    quiet = 0
    while quiet < _QUIET_POLLS and clock.monotonic() < until:
        await asyncio.sleep(_POLL_S)
        is_busy = in_flight.count or server.connections
        quiet = 0 if is_busy else quiet + 1
