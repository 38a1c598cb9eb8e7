"""HTTP client of the operator API."""

from collections.abc import Callable
from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from crocusshunt.api import (
    AcceptedDocument,
    ChangeDocument,
    ConfigurationDocument,
    ErrorDocument,
    HistoryDocument,
    StatusDocument,
)
from crocusshunt.client._errors import (
    ApiError,
    RefusedCallError,
    UnreachableApiError,
)
from crocusshunt.client._models import Proposal, Snapshot
from crocusshunt.configuration import Change, decode_row
from crocusshunt.routing import Tables

_STATUS_OK = 200
_TIMEOUT_S = 10

_Document = TypeVar('_Document')


def _ignore_progress(_progress: str) -> None:
    """Discard a progress message."""


class OperatorClient:
    """Calls the operator API of one host and owns the connections to it."""

    def __init__(self, url: str, key: str) -> None:
        """Create a client; it connects with the first call.

        :param url: base URL of the API.
        :param key: the operator's key, sent as a bearer token.
        """
        self._url = url
        self._headers = {'Authorization': f'Bearer {key}'}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get_status(self) -> Result[StatusDocument, ApiError]:
        """Return the status of the API process."""
        return await self._call('GET', '/v1/status', StatusDocument)

    async def get_snapshot(self) -> Result[Snapshot, ApiError]:
        """Return the tables in force and their revision."""
        document = await self._call(
            'GET',
            '/v1/configuration',
            ConfigurationDocument,
        )
        return document.map(_build_snapshot)

    async def list_changes(
        self,
        after: int,
    ) -> Result[tuple[Change, ...], ApiError]:
        """Return one page of the changes after a revision, oldest first."""
        document = await self._call(
            'GET',
            f'/v1/changes?after={after}',
            HistoryDocument,
        )
        return document.map(lambda history: history.changes)

    async def list_all_changes(
        self,
        progress: Callable[[str], None] = _ignore_progress,
    ) -> Result[tuple[Change, ...], ApiError]:
        """Read every change page by page and return them, oldest first.

        :param progress: called after each page with a progress message.
        """
        changes: list[Change] = []
        while True:
            after = changes[-1].revision if changes else 0
            page = await self.list_changes(after)
            if isinstance(page, Err):
                return page
            if not page.ok_value:
                return Ok(tuple(changes))
            changes.extend(page.ok_value)
            progress(f'{len(changes)} changes read')

    async def find_change(
        self,
        change_id: str,
    ) -> Result[AcceptedDocument, ApiError]:
        """Return the accepted change with an id.

        This tells whether a change whose answer was lost was accepted.
        """
        path = f'/v1/changes/{change_id}'
        return await self._call('GET', path, AcceptedDocument)

    async def propose(
        self,
        proposal: Proposal,
    ) -> Result[AcceptedDocument, ApiError]:
        """Propose a change; repeating the same proposal is safe."""
        document = ChangeDocument(
            change_id=proposal.change_id,
            expected=proposal.expected,
            reason=proposal.reason,
            edits=proposal.edits,
        )
        body = msgspec.json.encode(document)
        return await self._call('POST', '/v1/changes', AcceptedDocument, body)

    async def _call(
        self,
        method: str,
        path: str,
        expected: type[_Document],
        body: bytes | None = None,
    ) -> Result[_Document, ApiError]:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
            self._session = aiohttp.ClientSession(
                headers=self._headers,
                timeout=timeout,
            )
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=body,
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(UnreachableApiError(repr(error)))
        return _decode(status, content, expected)


def _decode(
    status: int,
    content: bytes,
    expected: type[_Document],
) -> Result[_Document, ApiError]:
    try:
        if status == _STATUS_OK:
            return Ok(msgspec.json.decode(content, type=expected))
        document = msgspec.json.decode(content, type=ErrorDocument)
    except msgspec.DecodeError as error:
        return Err(UnreachableApiError(f'status {status}: {error}'))
    return Err(RefusedCallError(status, document))


def _build_snapshot(document: ConfigurationDocument) -> Snapshot:
    rows = (
        decode_row(row.table, row.name, row.row).unwrap()
        for row in document.rows
    )
    return Snapshot(document.revision, Tables().put(*rows))
