"""Stand-in for a backend: an entry in the store, slots, a queue, answers."""

import asyncio
import json
import time

from aiohttp import web

ATTEMPT = 'X-Crocusshunt-Attempt-Id'
SEAL = 'X-Crocusshunt-Response-Seal'
EXPECTED = 'X-Crocusshunt-Expected-Instance'
TENANT = 'X-Crocusshunt-Tenant'
REMAINING = 'X-Crocusshunt-Deadline-Remaining'
NOT_RUN = 'X-Crocusshunt-Not-Executed'
LOAD = 'X-Crocusshunt-Backend-Load'
HEARTBEAT_S = 1.5
QUEUE = 4


class Backend:
    """One backend. It writes its entry every ``HEARTBEAT_S`` seconds."""

    def __init__(
        self, record, store, name, service, zone, *,
        slots=8, work_s=0.03, answer_bytes=0,
    ):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = ''
        self._busy = 0
        self._free = asyncio.Semaphore(slots)
        self._runner = None
        self._task = None

    async def start(self, ip):
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 0, backlog=512).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f'{host}:{port}'
        self.write_entry()
        self._task = asyncio.create_task(self._beat())

    async def stop(self):
        self._task.cancel()
        await self._runner.cleanup()

    def write_entry(self):
        """Write the entry; return the store's version, None if it is away."""
        self.sequence += 1
        entry = {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'zone': self.zone,
                'slots': self.slots,
                'version': '1',
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'cold_left_s': 0.0,
            },
        }
        return self.store.put('servers', self.name, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def _handle(self, request):
        await request.read()
        name = request.headers.get(ATTEMPT, '')
        echoed = {ATTEMPT: name}
        if request.path == '/health':
            return web.Response(headers={'X-Crocusshunt-Instance-Id': self.name})
        if request.headers.get(EXPECTED, self.name) != self.name:
            return web.Response(status=421, headers=echoed)
        if not name:
            return web.Response(status=400, headers={NOT_RUN: '1'})
        if self._busy >= self.slots + QUEUE:
            return web.Response(status=503, headers={**echoed, NOT_RUN: '1'})
        self._busy += 1
        try:
            async with self._free:
                self.record.note(
                    'run',
                    id=name,
                    backend=self.name,
                    service=self.service,
                    tenant=request.headers.get(TENANT, ''),
                    path=request.path,
                )
                await asyncio.sleep(self.work_s)
                headers = {
                    **echoed,
                    SEAL: f'{self.name}.{name}',
                    LOAD: f'{min(self._busy, self.slots)},'
                    f'{max(0, self._busy - self.slots)},{self.slots}',
                }
                if self.state != 'ready':
                    headers['Server-Leaving'] = '1'
                text = f'{self.name} {name} '
                text = text.ljust(self.answer_bytes, '.')
                return web.Response(text=text, headers=headers)
        finally:
            self._busy -= 1
