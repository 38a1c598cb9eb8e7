"""Cache of the platform's list of hosts, shared by many controllers."""

import asyncio

from result import Err, Result

from crocusshunt.core import Clock
from crocusshunt.messages import Body, FetchHosts, HostList, Refusal
from crocusshunt.store import HostEntry, Platform, StoreError

_MAX_LIST_AGE_S = 1


class HostListCache:
    """Answers requests for hosts from a list that is less than 1 s old.

    A failed read is cached for as long, so the platform is called at most
    once a second.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        """Create an empty cache."""
        self._platform = platform
        self._clock = clock
        self._lock = asyncio.Lock()
        self._fetched_at = float('-inf')
        self._fetched: Result[tuple[HostEntry, ...], StoreError] | None = None

    async def answer(self, request: FetchHosts) -> Body:
        """Return the list of hosts, or a refusal if it could not be read."""
        hosts = await self._fetch()
        if isinstance(hosts, Err):
            return Refusal(hosts.err_value.code, hosts.err_value.describe())
        return HostList(hosts.ok_value)

    async def _fetch(self) -> Result[tuple[HostEntry, ...], StoreError]:
        async with self._lock:
            asked_at = self._clock.monotonic()
            is_fresh = asked_at - self._fetched_at < _MAX_LIST_AGE_S
            if self._fetched is None or not is_fresh:
                self._fetched = await self._platform.list_hosts()
                self._fetched_at = asked_at
            return self._fetched
