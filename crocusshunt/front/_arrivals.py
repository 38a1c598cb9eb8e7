"""When requests of callers arrived, from which their timeouts count."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage

# Time of the event loop at which the head of a request had been read.
_ARRIVED_AT = web.RequestKey('arrived_at', float)


@dataclass(slots=True)
class Arrivals:
    """Arrivals of the requests of a connection that have not begun."""

    # By identity of the message.
    _times: dict[int, float] = field(default_factory=dict)

    def note(self, messages: Iterable[object], now: float) -> None:
        """Record requests that were read and wait.

        :param messages: all that wait; malformed ones are left out.
        :param now: time of the event loop.
        """
        for message in messages:
            if isinstance(message, RawRequestMessage):
                self._times.setdefault(id(message), now)

    def take(self, request: web.BaseRequest) -> None:
        """Let the time of a request that begins count from its arrival."""
        message = request._message  # noqa: SLF001
        arrived_at = self._times.pop(id(message), None)
        if arrived_at is not None:
            request[_ARRIVED_AT] = arrived_at


def measure_wait(request: web.BaseRequest) -> float:
    """Return how long a request waited behind others, in seconds."""
    now = asyncio.get_running_loop().time()
    return now - float(request.get(_ARRIVED_AT, now))
