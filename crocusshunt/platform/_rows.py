"""Client of the platform's store: tables of rows, and their change feeds."""

import asyncio
from functools import partial

import aiohttp
from result import Err, Ok, Result

from crocusshunt.core import create_outgoing_socket
from crocusshunt.feeds import (
    CallProgress,
    Changes,
    FeedError,
    FeedMalformedError,
    FeedOversizedError,
    FeedRefusedError,
    FeedUnreachableError,
    HistoryLostError,
    Row,
    RowWrite,
    find_era,
    find_number,
)
from crocusshunt.platform._bodies import describe_error, read_body
from crocusshunt.platform._eras import ERA_HEADER, EraReader
from crocusshunt.platform._row_format import (
    Page,
    Reply,
    decode_page,
    encode_writes,
)

_STATUS_OK = 200
_STATUS_GONE = 410
_MILLISECONDS = 1000
_PAGE_ROWS = 500
_CALL_TIMEOUT_S = 1.5
# A page of a table, which may be large, is waited for longer after each one
# that did not come in time.
_MAX_READ_TIMEOUT_S = 5
_TIMEOUT_GROWTH = 1.5
# Only a few calls run at the same time, for reads, writes and feeds together.
_MAX_CONNECTIONS = 8
_KEEPALIVE_S = 20


class RowStoreClient:
    """HTTP client of the store, with its own pool of connections."""

    def __init__(self, address: str) -> None:
        """Prepare a client; connections are opened on first use.

        :param address: ``ip:port`` of the store.
        """
        self._url = f'http://{address}'
        self._session: aiohttp.ClientSession | None = None
        self._eras = EraReader()
        self._read_timeouts: dict[str, float] = {}

    def redirect(self, address: str) -> None:
        """Use the store at another address from now on.

        :param address: ``ip:port`` of the store.
        """
        self._url = f'http://{address}'

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read_table(
        self, table: str, progress: CallProgress | None = None
    ) -> Result[Changes, FeedError]:
        """Return all rows of a table.

        The table is read in pages, of which later ones may be newer than the
        first. The version returned is that of the first page, so that a feed
        resumed from it returns all changes made since.

        Each page begins with the last row of the one before, since the key
        after the longest possible one can't be asked for.
        """
        rows: dict[str, Row] = {}
        version = -1
        start = ''
        while True:
            query = {'table': table, 'part': '', 'limit': str(_PAGE_ROWS)}
            if start:
                query['from'] = start
            timeout_s = self._read_timeouts.get(table, _CALL_TIMEOUT_S)
            answer = await self._get('/rows-get', query, timeout_s, progress)
            self._adapt_timeout(table, answer)
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            version = page.version if version < 0 else version
            if page.era != find_era(version):
                return Err(FeedRefusedError('store returned meanwhile'))
            rows.update((row.key, row) for row in page.decode_rows())
            if not page.answer.has_more:
                return Ok(Changes(tuple(rows.values()), version))
            if page.last_key <= start:
                return Err(FeedMalformedError('pages do not go on'))
            start = page.last_key

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        answer_s: float,
        progress: CallProgress | None = None,
    ) -> Result[Changes, FeedError]:
        """Return the changes after a version; wait for one if there is none.

        :param wait_s: longest wait for a change, in seconds.
        :param answer_s: time after that wait by which the answer must be
            here, in seconds.
        :param progress: told of each part of the answer as it comes.
        """
        era = find_era(after)
        if era < self._eras.newest:
            return Err(HistoryLostError('store returned from a copy'))
        query = {
            'table': table,
            'after': str(find_number(after)),
            'wait_ms': str(round(wait_s * _MILLISECONDS)),
        }
        answer = await self._get(
            '/rows-feed',
            query,
            wait_s + answer_s,
            progress,
        )
        if isinstance(answer, Err):
            return answer
        page = answer.ok_value
        if page.era != era:
            return Err(HistoryLostError('store returned from a copy'))
        return Ok(page.decode_changes())

    async def write(self, *writes: RowWrite) -> Result[None, FeedError]:
        """Write or remove rows, all or none, whatever their content is."""
        answer = await self._call(
            'POST',
            '/rows-tx',
            _CALL_TIMEOUT_S,
            body=encode_writes(writes),
        )
        return answer.map(_discard_content)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        progress: CallProgress | None = None,
    ) -> Result[Page, FeedError]:
        reply = await self._call(
            'GET', path, timeout_s, query=query, progress=progress
        )
        return reply.and_then(decode_page)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        progress: CallProgress | None = None,
    ) -> Result[Reply, FeedError]:
        session = self._open_session()
        try:
            async with (
                asyncio.timeout(timeout_s) as deadline,
                session.request(
                    method,
                    self._url + path,
                    params=query,
                    data=body,
                    headers={'Content-Type': 'application/json'},
                ) as response,
            ):
                era = self._eras.read(response.headers.get(ERA_HEADER))
                status = response.status
                content = await read_body(response, deadline, progress)
                if content is None:
                    return Err(FeedOversizedError('more than the table'))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(FeedUnreachableError(describe_error(error, progress)))
        if isinstance(era, Err):
            return era
        checked = _check_status(status, content)
        return checked.map(partial(Reply, era=era.ok_value))

    def _adapt_timeout(
        self, table: str, answer: Result[Page, FeedError]
    ) -> None:
        """Wait longer for the pages of a table of which one was late.

        Until the table is read to its end: its other pages are as slow.
        """
        if isinstance(answer, Ok):
            if not answer.ok_value.answer.has_more:
                self._read_timeouts.pop(table, None)
        elif isinstance(answer.err_value, FeedUnreachableError):
            last_s = self._read_timeouts.get(table, _CALL_TIMEOUT_S)
            longer_s = min(_MAX_READ_TIMEOUT_S, last_s * _TIMEOUT_GROWTH)
            self._read_timeouts[table] = longer_s

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=_MAX_CONNECTIONS,
                    keepalive_timeout=_KEEPALIVE_S,
                    socket_factory=create_outgoing_socket,
                ),
                timeout=aiohttp.ClientTimeout(total=None),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _check_status(status: int, content: bytes) -> Result[bytes, FeedError]:
    if status == _STATUS_OK:
        return Ok(content)
    detail = f'status {status}'
    if status == _STATUS_GONE:
        return Err(HistoryLostError(detail))
    return Err(FeedRefusedError(detail))


def _discard_content(_reply: Reply) -> None:
    """Discard the content of an answer of which only the status counts."""
