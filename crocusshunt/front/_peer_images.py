"""Copies of tables that other hosts have."""

import asyncio
import zlib
from dataclasses import dataclass, field

import msgspec
from aiohttp import ClientError, ClientSession, web

from crocusshunt.core import DECODE_ERRORS
from crocusshunt.feeds import Changes, TableImage
from crocusshunt.logs import log_event

# A copy is lost without any part of it for so long.
_PART_TIMEOUT_S = 1
# It is given up after the first time if it comes slower than so, since other
# hosts may send it sooner, and after the second time in any case.
_MIN_FETCH_S = 2
_MIN_BYTES_PER_S = 16_384
_MAX_FETCH_S = 10
# No table comes near this size.
_MAX_COPY_BYTES = 67_108_864
_FETCH_ERRORS = (ClientError, TimeoutError, OSError, *DECODE_ERRORS)
_STATUS_OK = 200
_CODING = 'deflate'


class _FetchLimit:
    """Until when a copy is waited for, by what has come of it."""

    def __init__(self) -> None:
        self._time = asyncio.get_running_loop().time
        self._started_at = self._time()
        self._received_bytes = 0

    def note(self, size: int) -> float:
        """Record that a part came; return the time of the loop to wait until.

        :raises ClientError: if there is more than any table has.
        """
        self._received_bytes += size
        if self._received_bytes > _MAX_COPY_BYTES:
            raise ClientError('copy without end')
        allowed_s = _MIN_FETCH_S + self._received_bytes / _MIN_BYTES_PER_S
        latest = self._started_at + min(_MAX_FETCH_S, allowed_s)
        return min(latest, self._time() + _PART_TIMEOUT_S)


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
        parts: list[bytes] = []
        try:
            await self._read(f'http://{address}/image/{position}', parts)
            return msgspec.msgpack.decode(b''.join(parts), type=Changes)
        except _FETCH_ERRORS as error:
            log_event(
                'peer image not fetched',
                peer=host,
                position=position,
                cause=repr(error),
                received_bytes=sum(map(len, parts)),
            )
        return None

    async def _read(self, url: str, parts: list[bytes]) -> None:
        """Read an answer, however long it takes while parts of it come."""
        if self._session is None:
            self._session = ClientSession()
        async with (
            asyncio.timeout(_PART_TIMEOUT_S) as deadline,
            self._session.get(url) as response,
        ):
            if response.status != _STATUS_OK:
                raise ClientError(f'status {response.status}')
            limit = _FetchLimit()
            async for part in response.content.iter_any():
                deadline.reschedule(limit.note(len(part)))
                parts.append(part)


@dataclass(slots=True)
class ImageCopies:
    """Encoded copies of this host's tables, for other hosts.

    Each version of a table is compressed once.
    """

    _compressed: dict[int, tuple[tuple[int, int], bytes]] = field(
        default_factory=dict
    )

    def respond(
        self, request: web.BaseRequest, position: int, image: TableImage
    ) -> web.Response:
        """Return a table, compressed if the other host takes that.

        :param position: identifies the table.
        """
        if _CODING not in request.headers.get('Accept-Encoding', ''):
            return web.Response(body=msgspec.msgpack.encode(image.export()))
        return web.Response(
            body=self._compress(position, image),
            headers={'Content-Encoding': _CODING},
        )

    def _compress(self, position: int, image: TableImage) -> bytes:
        state = (image.revision, image.changed_at)
        known, content = self._compressed.get(position, (None, b''))
        if known != state:
            content = zlib.compress(msgspec.msgpack.encode(image.export()))
            self._compressed[position] = (state, content)
        return content
