"""Backend servers of a soak, each behind a proxy."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from aiohttp import web

from crocusshunt.platform import SOURCE_FORMAT
from crocusshunt.soak._proxy import Proxy
from crocusshunt.soak._records import Run
from crocusshunt.standin import LOOPBACK

_NAMES = SOURCE_FORMAT.headers
_SLOTS = 4
_QUEUE = 4
_MEAN_WORK_S = 0.03
_STATUS_MISDIRECTED = 421
_STATUS_FULL = 503
_WORDS = 40


def write_answer(request_id: str) -> str:
    """Return the only right answer to a request.

    >>> write_answer('1') == write_answer('2')
    False
    """
    word = blake2b(request_id.encode(), digest_size=8).hexdigest()
    return ' '.join((request_id, word * _WORDS))


@dataclass(slots=True)
class SoakServer:
    """One backend server; each start is a new one by name.

    :param runs: what all servers of the soak began to work on.
    :param keys: secrets that no server may see.
    """

    name: str
    pool: str
    failure_domain: str
    runs: list[Run]
    keys: frozenset[str]
    draw: random.Random
    proxy: Proxy | None = None
    _running: int = 0
    _runner: web.ServerRunner | None = None
    _free: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(_SLOTS),
    )

    @property
    def address(self) -> str:
        """Return where hosts reach it."""
        return '' if self.proxy is None else self.proxy.address

    async def start(self) -> None:
        """Listen, and stand a proxy before it."""
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, 0).start()
        host, port = self._runner.addresses[0]
        self.proxy = Proxy(f'{host}:{port}')
        await self.proxy.start()

    async def stop(self) -> None:
        """Close proxy and port."""
        if self.proxy is not None:
            await self.proxy.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: Any) -> web.StreamResponse:
        await request.read()
        request_id = request.headers.get(_NAMES.request_id, '')
        echoed = {_NAMES.request_id: request_id}
        if request.headers.get(_NAMES.expected_server) != self.name:
            return web.Response(status=_STATUS_MISDIRECTED, headers=echoed)
        if self._running >= _SLOTS + _QUEUE:
            refused = {**echoed, _NAMES.not_run: '1'}
            return web.Response(status=_STATUS_FULL, headers=refused)
        self._running += 1
        try:
            async with self._free:
                return await self._work(request, request_id)
        finally:
            self._running -= 1

    async def _work(self, request: Any, request_id: str) -> web.Response:
        shown = str(request.headers)
        self.runs.append(
            Run(
                request_id=request_id,
                server=self.name,
                pool=self.pool,
                at=time.monotonic(),
                customer=request.headers.get(_NAMES.customer, ''),
                shows_key=any(key in shown for key in self.keys),
            ),
        )
        await asyncio.sleep(self.draw.expovariate(1 / _MEAN_WORK_S))
        return web.Response(
            text=write_answer(request_id),
            headers={
                _NAMES.request_id: request_id,
                _NAMES.signature: request_id,
                _NAMES.load: f'{self._running},0,{_SLOTS}',
            },
        )
