"""Backend servers that name how many requests a second they take."""

import asyncio
import time

from aiohttp import web

from crocusshunt.front.tests._backend import Backend, sign
from crocusshunt.front.tests._deployment import Deployment, deploy

_LIMIT_HEADER = 'Server-Limit'
_RATE = 2
_WINDOW_S = 4
# One and a half times the rate, and five requests.
_ALLOWED = 1.5 * _RATE * _WINDOW_S + 5
_REQUESTS = 130
_SPACING_S = 0.04


def _name_limit(backend: Backend, rate: float) -> list[float]:
    """Let a server name a limit; return the list of its arrival times."""
    arrivals: list[float] = []

    async def respond(request: web.Request) -> web.StreamResponse:
        arrivals.append(time.monotonic())
        response = sign(request, web.Response(text=backend.name))
        response.headers[_LIMIT_HEADER] = str(rate)
        return response

    backend.override = respond
    return arrivals


async def test_server_gets_no_more_requests_than_it_names() -> None:
    """Other servers of its pool get the rest, and no request fails."""
    async with deploy('s1', 's2') as deployment:
        arrivals = _name_limit(deployment.backends[0], _RATE)
        statuses: list[int] = []
        while len(statuses) < _REQUESTS:
            status, _text, _response = await deployment.send()
            statuses.append(status)
            await asyncio.sleep(_SPACING_S)
        assert set(statuses) == {200}
        busiest = max(
            sum(start <= at < start + _WINDOW_S for at in arrivals)
            for start in arrivals
        )
        assert busiest <= _ALLOWED
        assert len(deployment.backends[1].received) > _REQUESTS / 2


async def test_server_gets_its_part_again_once_it_names_no_limit() -> None:
    async with deploy('s1', 's2') as deployment:
        limited = deployment.backends[0]
        _name_limit(limited, _RATE)
        await _send_many(deployment, 30)
        limited.override = None
        await asyncio.sleep(1)
        before = len(limited.received)
        await _send_many(deployment, 40)
        assert len(limited.received) - before > 10


async def test_request_beyond_all_limits_is_refused_until_the_next() -> None:
    async with deploy('s1') as deployment:
        _name_limit(deployment.backends[0], _RATE)
        answered = await deployment.send()
        refused = await deployment.send()
        assert (answered[0], refused[0]) == (200, 503)
        assert float(refused[2].headers['Retry-After']) == 1 / _RATE


async def _send_many(deployment: Deployment, requests: int) -> None:
    for number in range(requests):
        await deployment.send(f'/a/{number}')
        await asyncio.sleep(_SPACING_S)
