"""Stand-in for the platform's store: rows, feeds, history, copies."""

import asyncio
import json
import time
from base64 import b64decode, b64encode
from collections import deque

from aiohttp import web

ANSWER_S = 0.004
READS_PER_S = 2000
WRITES_PER_S = 400
OWNED_BY_PLATFORM = ('op', 'servers')


class Store:
    """Rows in tables with one version counter, as PROTOCOL.md describes them.

    ``copy`` and ``restore`` are the drill of the fourth letter: the store comes
    back from a copy, versions are given out again, and ``era`` rises by one.
    """

    def __init__(self):
        self.version = 0
        self.era = 1
        self.is_away = False
        self.rows = {}
        self.history = []
        self.calls = []
        self._news = asyncio.Event()
        self._reads = deque()
        self._writes = deque()
        self._runner = None
        self.address = ''

    async def start(self, ip):
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 0, backlog=512).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f'{host}:{port}'

    async def stop(self):
        await self._runner.cleanup()

    def put(self, table, key, content):
        """Write a row; return the version, None while the store is away."""
        if self.is_away:
            return None
        self.version += 1
        row = (key, content, self.version, False)
        self.rows[table, key] = row
        self._note(table, row)
        return self.version

    def drop(self, table, key):
        if self.is_away:
            return None
        self.version += 1
        self.rows.pop((table, key), None)
        self._note(table, (key, b'', self.version, True))
        return self.version

    def copy(self):
        return self.version, dict(self.rows), list(self.history)

    def leave(self):
        """Be away: all calls are answered 503, also those under way."""
        self.is_away = True
        self._wake()

    def restore(self, copied):
        """Come back from a copy."""
        self.version, rows, history = copied
        self.rows = dict(rows)
        self.history = list(history)
        self.era += 1
        self.is_away = False
        self._wake()

    def _note(self, table, row):
        self.history.append((table, row))
        self._wake()

    def _wake(self):
        self._news.set()
        self._news = asyncio.Event()

    async def _handle(self, request):
        self.calls.append((time.monotonic(), request.path))
        await asyncio.sleep(ANSWER_S)
        if self.is_away:
            return self._answer({'error': 'away'}, 503)
        handlers = {
            '/rows-get': self._get,
            '/rows-feed': self._feed,
            '/rows-tx': self._transact,
        }
        handle = handlers.get(request.path)
        if handle is None:
            return self._answer({'error': 'unknown call'}, 404)
        is_write = request.path == '/rows-tx'
        recent = self._writes if is_write else self._reads
        if not _admit(recent, WRITES_PER_S if is_write else READS_PER_S):
            return self._answer({'error': 'too many calls'}, 429)
        return await handle(request)

    async def _get(self, request):
        query = request.query
        table, start = query['table'], query.get('from', '')
        target = query.get('target', '')
        limit = min(500, int(query.get('limit', 500)))
        found = sorted(
            row
            for (one, key), row in self.rows.items()
            if one == table and key >= start and (not target or key < target)
        )
        return self._answer_rows(table, found[:limit], len(found) > limit)

    async def _feed(self, request):
        query = request.query
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + min(30, int(query.get('wait_ms', 0)) / 1000)
        era = self.era
        while True:
            if self.is_away:
                return self._answer({'error': 'away'}, 503)
            if after > self.version or era != self.era:
                return self._answer({'error': 'unknown version'}, 410)
            rows = [
                row
                for one, row in self.history
                if one == table and row[2] > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._answer_rows(table, rows, False)
            try:
                async with asyncio.timeout(left):
                    await self._news.wait()
            except TimeoutError:
                pass

    async def _transact(self, request):
        body = json.loads(await request.read())
        entries = [*body.get('writes', ()), *body.get('remove', ())]
        if any(one['table'] in OWNED_BY_PLATFORM for one in entries):
            return self._answer({'error': 'not yours'}, 403)
        for one in body.get('expect', ()):
            known = self.rows.get((one['table'], one['key']))
            if (known[2] if known else 0) != one.get('ver', 0):
                return self._answer({'rows': []}, 412)
        for one in body.get('writes', ()):
            self.put(one['table'], one['key'], b64decode(one['value']))
        for one in body.get('remove', ()):
            self.drop(one['table'], one['key'])
        return self._answer({'ver': self.version, 'now_s': time.monotonic()})

    def _answer_rows(self, table, rows, has_more):
        found = [
            {
                'table': table,
                'part': '',
                'key': key,
                'value': b64encode(content).decode(),
                'ver': version,
                **({'deleted': True} if is_dropped else {}),
            }
            for key, content, version, is_dropped in rows
        ]
        return self._answer(
            {
                'rows': found,
                'ver': self.version,
                'now_s': time.monotonic(),
                'has_more': has_more,
            }
        )

    def _answer(self, body, status=200):
        headers = {'Store-Era': str(self.era)}
        return web.json_response(body, status=status, headers=headers)


def _admit(recent, per_s):
    now = time.monotonic()
    while recent and recent[0] < now - 1:
        recent.popleft()
    if len(recent) >= per_s:
        return False
    recent.append(now)
    return True
