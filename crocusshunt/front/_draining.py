"""Draining of connections at a planned stop."""

import asyncio
from collections.abc import Sequence

from aiohttp import web

from crocusshunt.core import Clock
from crocusshunt.front._in_flight import InFlight

# A request whose bytes were already read is counted as in flight within this
# time.
_SETTLE_S = 0.05


async def drain_runners(
    runners: Sequence[web.ServerRunner],
    in_flight: InFlight,
    until: float,
    clock: Clock,
) -> None:
    """Stop listening, let requests finish, and close idle connections.

    Reading from idle connections stops before they are closed, so that no
    request is read and then dropped: its sender sees the connection close
    without a response. A connection is idle once all that was written to it
    has left the process.

    :param until: deadline for requests in flight, monotonic seconds.
    """
    for runner in runners:
        for site in tuple(runner.sites):
            await site.stop()
    servers = [one.server for one in runners if one.server is not None]
    is_owing = True
    while is_owing and clock.monotonic() < until:
        for connection in _list_idle(servers, in_flight):
            if connection.transport is not None:
                connection.transport.pause_reading()
        await asyncio.sleep(_SETTLE_S)
        for idle in _list_idle(servers, in_flight):
            idle.force_close()
        is_owing = bool(in_flight.count) or _has_unsent(servers)
    # Lets the last responses leave before the process ends.
    await asyncio.sleep(_SETTLE_S)


def _list_idle(
    servers: Sequence[web.Server], in_flight: InFlight
) -> list[web.RequestHandler]:
    return [
        one
        for server in servers
        for one in server.connections
        if one not in in_flight.busy and not _is_owing(one)
    ]


def _has_unsent(servers: Sequence[web.Server]) -> bool:
    """Tell whether a caller has not received all that was written."""
    return any(
        _is_owing(one) for server in servers for one in server.connections
    )


def _is_owing(connection: web.RequestHandler) -> bool:
    """Tell whether written bytes have not left, or not reached the caller."""
    is_lingering = getattr(connection, 'is_lingering', False)
    return is_lingering or _count_unsent(connection) > 0


def _count_unsent(connection: web.RequestHandler) -> int:
    """Return how many written bytes have not left the process."""
    transport = connection.transport
    return 0 if transport is None else transport.get_write_buffer_size()
