"""Copies of tables that other hosts have."""

import asyncio

import msgspec
from aiohttp import ClientError, ClientSession

from crocusshunt.core import DECODE_ERRORS
from crocusshunt.feeds import Changes
from crocusshunt.logs import log_event

_FETCH_TIMEOUT_S = 1
_FETCH_ERRORS = (ClientError, TimeoutError, OSError, *DECODE_ERRORS)
_STATUS_OK = 200


class PeerImages:
    """Fetches copies of tables from other hosts."""

    def __init__(self) -> None:
        """Prepare; connections are opened on first use."""
        self._session: ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def fetch(
        self, host: str, address: str, position: int
    ) -> Changes | None:
        """Return another host's copy of a table, None after an error.

        :param host: its name, for the log.
        :param address: its port for other hosts, ``ip:port``.
        :param position: identifies the table between hosts.
        """
        try:
            content = await self._get(f'http://{address}/image/{position}')
            return msgspec.msgpack.decode(content, type=Changes)
        except _FETCH_ERRORS as error:
            log_event(
                'peer image not fetched',
                peer=host,
                position=position,
                cause=repr(error),
            )
        return None

    async def _get(self, url: str) -> bytes:
        if self._session is None:
            self._session = ClientSession()
        async with (
            asyncio.timeout(_FETCH_TIMEOUT_S),
            self._session.get(url) as response,
        ):
            if response.status != _STATUS_OK:
                raise ClientError(f'status {response.status}')
            return await response.read()
