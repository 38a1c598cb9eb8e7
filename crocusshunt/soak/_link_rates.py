"""How many bytes a second a link carries."""

import asyncio
from dataclasses import dataclass

# Timers of the event loop fire late by less; the link makes up for that.
_TIMER_LAG_S = 0.01


@dataclass(slots=True)
class LinkRate:
    """Lets bytes pass at a bounded rate, for all connections of a link.

    :param bytes_per_s: of both directions together.
    :param passed_bytes: bytes that passed so far.
    """

    bytes_per_s: float
    passed_bytes: int = 0
    _free_at: float = 0

    async def take(self, size: int) -> None:
        """Return when so many bytes have passed."""
        now = asyncio.get_running_loop().time()
        earliest = max(now - _TIMER_LAG_S, self._free_at)
        self._free_at = earliest + size / self.bytes_per_s
        if self._free_at > now:
            await asyncio.sleep(self._free_at - now)
        self.passed_bytes += size
