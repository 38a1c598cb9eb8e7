"""Waits until a fleet serves its sample requests."""

import asyncio
from urllib.parse import urlsplit

from aiohttp import ClientError, ClientSession

from crocusshunt.demo._description import FleetDocument, SampleRequest

_TIMEOUT_S = 30
_POLL_S = 0.1
_STATUS_UNAVAILABLE = 503


async def wait_until_ready(document: FleetDocument) -> None:
    """Wait until every gateway serves the idempotent sample requests.

    A status of 503 or a failed connection counts as not served yet.

    :param document: description of the fleet.
    :raises TimeoutError: a gateway does not serve a sample within 30 s.
    """
    samples = [
        sample for sample in document.sample_requests if sample.idempotent
    ]
    async with asyncio.timeout(_TIMEOUT_S), ClientSession() as session:
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
