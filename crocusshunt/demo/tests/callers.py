"""Callers of a fleet, for sessions."""

import asyncio
from collections import Counter

import aiohttp

from crocusshunt.demo import Fleet
from crocusshunt.routing import Access, Customer, Route

_PAUSE_S = 0.05


class Callers:
    """Reads keyed routes through every gateway and counts the outcomes.

    :param fleet: a started fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._session = aiohttp.ClientSession()
        self.customer = fleet.tables.select(Customer)[0].name
        routes = fleet.tables.select(Route)
        self.keyed = next(
            route
            for route in routes
            if route.access is Access.keyed and route.idempotent
        )
        self.open = next(
            route for route in routes if route.access is Access.open
        )
        self.servers: Counter[str] = Counter()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(self, position: int, *, is_open: bool = False) -> str:
        """Return the outcome of one request through a gateway."""
        route = self.open if is_open else self.keyed
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
        """Return how many gateways gave each outcome."""
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
        """Repeat until every gateway gives an outcome, or time is over."""
        wanted = f'{len(self._fleet.hosts)} {outcome}'
        for _ in range(int(seconds / _PAUSE_S)):
            if await self.call_all() == wanted:
                return f'within {seconds:g} s: {wanted}'
            await asyncio.sleep(_PAUSE_S)
        return f'not within {seconds:g} s: {await self.call_all()}'
