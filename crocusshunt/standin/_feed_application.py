"""The stand-in for a store of rows, served over HTTP."""

from base64 import b64decode, b64encode
from collections.abc import Callable

import msgspec
from aiohttp import web
from result import Err

from crocusshunt.feeds import (
    Changes,
    FeedError,
    HistoryLostError,
    Row,
    RowWrite,
    find_number,
    join_version,
)
from crocusshunt.standin._feeds import MemoryFeedStore
from crocusshunt.web import json_response

_STATUS_GONE = 410
_STATUS_UNAVAILABLE = 503
_MILLISECONDS = 1000
_DEFAULT_LIMIT = 500


class _Write(msgspec.Struct, frozen=True):
    table: str
    key: str
    value: str = ''


class _Transaction(msgspec.Struct, frozen=True):
    writes: tuple[_Write, ...] = ()
    remove: tuple[_Write, ...] = ()


Translate = Callable[[Row], Row]


class FeedStoreApplication:
    """Serves a store in memory over the HTTP protocol of the row store."""

    def __init__(
        self, store: MemoryFeedStore, translate: Translate | None = None
    ) -> None:
        """Create an application for a store.

        :param translate: changes the rows that its callers read.
        """
        self._store = store
        self._translate = translate

    def create(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application()
        application.router.add_get('/rows-get', self._get)
        application.router.add_get('/rows-feed', self._feed)
        application.router.add_post('/rows-tx', self._transact)
        return application

    async def _get(self, request: web.Request) -> web.Response:
        answer = await self._store.read_table(request.query['table'])
        if isinstance(answer, Err):
            return self._refuse(answer.err_value)
        limit = int(request.query.get('limit', _DEFAULT_LIMIT))
        start = request.query.get('from', '')
        changes = answer.ok_value
        rows = [row for row in changes.rows if row.key >= start]
        page = Changes(tuple(rows[:limit]), changes.version)
        return self._respond(page, has_more=len(rows) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        answer = await self._store.read_changes(
            request.query['table'],
            join_version(self._store.era, int(request.query['after'])),
            int(request.query['wait_ms']) / _MILLISECONDS,
        )
        if isinstance(answer, Err):
            return self._refuse(answer.err_value)
        return self._respond(answer.ok_value, has_more=False)

    def _respond(self, changes: Changes, *, has_more: bool) -> web.Response:
        rows = changes.rows
        if self._translate is not None:
            rows = tuple(map(self._translate, rows))
        return self._encode(Changes(rows, changes.version), has_more=has_more)

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.read()
        transaction = msgspec.json.decode(body, type=_Transaction)
        writes = [
            RowWrite(one.table, one.key, b64decode(one.value))
            for one in transaction.writes
        ]
        writes.extend(
            RowWrite(one.table, one.key) for one in transaction.remove
        )
        done = await self._store.write(*writes)
        if isinstance(done, Err):
            return self._refuse(done.err_value)
        return json_response(
            {'ver': self._store.version}, headers=self._headers
        )

    @property
    def _headers(self) -> dict[str, str]:
        return {'Store-Era': str(self._store.era + 1)}

    def _encode(self, changes: Changes, *, has_more: bool) -> web.Response:
        rows = [
            {
                'key': row.key,
                'value': b64encode(row.content).decode(),
                'ver': find_number(row.version),
                'deleted': row.is_removed,
            }
            for row in changes.rows
        ]
        version = find_number(changes.version)
        return json_response(
            {'rows': rows, 'ver': version, 'has_more': has_more},
            headers=self._headers,
        )

    def _refuse(self, error: FeedError) -> web.Response:
        is_history_lost = isinstance(error, HistoryLostError)
        return web.Response(
            status=_STATUS_GONE if is_history_lost else _STATUS_UNAVAILABLE,
            headers=self._headers,
        )
