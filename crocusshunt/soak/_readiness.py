"""Readiness of the hosts of a soak test."""

import asyncio
from collections.abc import Iterable

from aiohttp import ClientError, ClientSession

from crocusshunt.soak._processes import HostProcess

_READY_TIMEOUT_S = 60
_READY_POLL_S = 0.1
_STATUS_OK = 200


async def wait_until_ready(hosts: Iterable[HostProcess]) -> None:
    """Wait until all hosts report that they take requests."""
    async with asyncio.timeout(_READY_TIMEOUT_S), ClientSession() as session:
        for host in hosts:
            while not await _is_ready(session, host):
                await asyncio.sleep(_READY_POLL_S)


async def _is_ready(session: ClientSession, host: HostProcess) -> bool:
    try:
        async with session.get(
            f'http://{host.document.ready}/ready'
        ) as response:
            return response.status == _STATUS_OK
    except (ClientError, OSError):
        return False
