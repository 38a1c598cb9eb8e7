"""Wait until a fleet serves what it describes."""

import asyncio
from urllib.parse import urlsplit

from aiohttp import ClientError, ClientSession

from crocusshunt.demo._offer import FleetDocument, SampleRequest

_GIVE_UP_S = 30
_POLL_S = 0.1
_STATUS_UNAVAILABLE = 503


async def await_service(document: FleetDocument) -> None:
    """Return once every gateway serves the harmless sample requests.

    :raises TimeoutError: one of them does not within half a minute.
    """
    samples = [one for one in document.sample_requests if one.idempotent]
    async with asyncio.timeout(_GIVE_UP_S), ClientSession() as session:
        for sample in samples:
            path = urlsplit(sample.url).path
            for gateway in document.gateways:
                while not await _is_served(session, sample, gateway + path):
                    await asyncio.sleep(_POLL_S)


async def _is_served(
    session: ClientSession,
    sample: SampleRequest,
    url: str,
) -> bool:
    try:
        async with session.request(
            sample.method,
            url,
            headers=sample.headers,
            data=sample.body or None,
        ) as response:
            return response.status != _STATUS_UNAVAILABLE
    except (ClientError, OSError):
        return False
