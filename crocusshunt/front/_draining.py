"""The end of a server's connections at a planned stop."""

import asyncio

from aiohttp import web

from crocusshunt.core import Clock
from crocusshunt.front._handler import InFlight

_POLL_S = 0.05
# A request that was read before is counted within this.
_SETTLE_S = 0.05


async def drain_runner(
    runner: web.ServerRunner,
    in_flight: InFlight,
    until: float,
    clock: Clock,
) -> None:
    """Stop listening, close idle connections, and let the others finish.

    Idle connections are first no longer read, so that no request is read
    and then dropped: whoever sent one sees that it was not taken.

    :param until: latest end, monotonic seconds.
    """
    for site in tuple(runner.sites):
        await site.stop()
    server = runner.server
    if server is None:
        return
    for connection in _list_idle(server, in_flight):
        if connection.transport is not None:
            connection.transport.pause_reading()
    await asyncio.sleep(_SETTLE_S)
    for idle in _list_idle(server, in_flight):
        idle.force_close()
    while in_flight.count and clock.monotonic() < until:
        await asyncio.sleep(_POLL_S)
    # The last answers leave before the process ends.
    await asyncio.sleep(_SETTLE_S)


def _list_idle(
    server: web.Server,
    in_flight: InFlight,
) -> list[web.RequestHandler]:
    return [one for one in server.connections if one not in in_flight.busy]
