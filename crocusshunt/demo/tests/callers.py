"""Callers that send requests through the gateways of a fleet."""

import asyncio
from collections import Counter

import aiohttp

from crocusshunt.demo import Fleet
from crocusshunt.routing import Access, Customer, Route

_POLL_S = 0.05


class Callers:
    """Sends GET requests through the gateways and reports their outcomes.

    ``servers`` counts the answered requests by backend server.


    :param fleet: a started fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._session = aiohttp.ClientSession()
        self.customer = fleet.tables.select(Customer)[0].name
        routes = fleet.tables.select(Route)
        self.keyed_route = next(
            route
            for route in routes
            if route.access is Access.keyed and route.idempotent
        )
        self.open_route = next(
            route for route in routes if route.access is Access.open
        )
        self.servers: Counter[str] = Counter()

    async def close(self) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def call(self, position: int, *, is_open: bool = False) -> str:
        """Send one request through a gateway and return its outcome.

        :param position: index of the gateway's host in the fleet.
        :param is_open: whether to use a route that needs no key.
        """
        route = self.open_route if is_open else self.keyed_route
        key = self._fleet.keys[self.customer]
        headers = {} if is_open else {'X-Api-Key': key}
        base = self._fleet.hosts[position].gateway.url
        url = f'{base}{route.path_prefix}/42'
        async with self._session.get(url, headers=headers) as response:
            answer = await response.json()
            if response.status != 200:
                reason = f'{response.status} {answer["title"]}'
                return f'{reason}, {answer["outcome"]}'
            self.servers[answer['server']] += 1
            return 'answered'

    async def call_all(self, *, is_open: bool = False) -> str:
        """Send one request through each gateway and count the outcomes."""
        outcomes = Counter(
            [
                await self.call(position, is_open=is_open)
                for position, _host in enumerate(self._fleet.hosts)
            ],
        )
        return ', '.join(
            f'{count} {name}' for name, count in sorted(outcomes.items())
        )

    async def call_until(self, outcome: str, seconds: float) -> str:
        """Repeat until all gateways give an outcome, or the time is up.

        :param seconds: time limit in seconds.
        """
        expected = f'{len(self._fleet.hosts)} {outcome}'
        for _ in range(int(seconds / _POLL_S)):
            if await self.call_all() == expected:
                return f'within {seconds:g} s: {expected}'
            await asyncio.sleep(_POLL_S)
        return f'not within {seconds:g} s: {await self.call_all()}'
