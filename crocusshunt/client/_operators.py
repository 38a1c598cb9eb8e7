"""HTTP client of the operators' interface."""

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
from crocusshunt.client._values import Proposal, Snapshot
from crocusshunt.configuration import Change, decode_row
from crocusshunt.routing import Tables

_STATUS_OK = 200
_TIMEOUT_S = 10

_Document = TypeVar('_Document')


def _ignore(_progress: str) -> None:
    """Take no notice of progress."""


class OperatorClient:
    """Calls one operators' interface; owns its connections."""

    def __init__(self, url: str, key: str) -> None:
        """Prepare to call.

        :param url: base URL of the interface.
        :param key: the operator's key.
        """
        self._url = url
        self._headers = {'Authorization': f'Bearer {key}'}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get_status(self) -> Result[StatusDocument, ApiError]:
        """Return the state of the process that answers."""
        return await self._call('GET', '/v1/status', StatusDocument)

    async def get_snapshot(self) -> Result[Snapshot, ApiError]:
        """Return the tables in force."""
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
        """Return changes after a revision, oldest first."""
        document = await self._call(
            'GET',
            f'/v1/changes?after={after}',
            HistoryDocument,
        )
        return document.map(lambda history: history.changes)

    async def list_all_changes(
        self,
        progress: Callable[[str], None] = _ignore,
    ) -> Result[tuple[Change, ...], ApiError]:
        """Return every change, oldest first, page by page.

        :param progress: told after each page how much has arrived.
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
        """Return what became of a change whose answer was lost."""
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
