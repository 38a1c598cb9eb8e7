"""The platform's list of hosts, read once for many controllers."""

import asyncio

from result import Err, Result

from crocusshunt.core import Clock
from crocusshunt.messages import Body, FetchHosts, HostList, Refusal
from crocusshunt.store import HostEntry, Platform, StoreError

_LIFETIME_S = 1


class HostListing:
    """Answers from a list that is at most a second old."""

    def __init__(self, platform: Platform, clock: Clock) -> None:
        """Start without a list."""
        self._platform = platform
        self._clock = clock
        self._lock = asyncio.Lock()
        self._read_at = float('-inf')
        self._read: Result[tuple[HostEntry, ...], StoreError] | None = None

    async def answer(self, question: FetchHosts) -> Body:
        """Return the list, or why there is none."""
        hosts = await self._fetch()
        if isinstance(hosts, Err):
            return Refusal(hosts.err_value.code, hosts.err_value.describe())
        return HostList(hosts.ok_value)

    async def _fetch(self) -> Result[tuple[HostEntry, ...], StoreError]:
        async with self._lock:
            asked_at = self._clock.monotonic()
            is_fresh = asked_at - self._read_at < _LIFETIME_S
            if self._read is None or not is_fresh:
                self._read = await self._platform.list_hosts()
                self._read_at = asked_at
            return self._read
