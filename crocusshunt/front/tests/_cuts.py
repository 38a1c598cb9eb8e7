"""Cuts between a host and all backend servers."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Any

import pytest

from crocusshunt.front import FrontService
from crocusshunt.upstream import (
    AnswerBrokenError,
    AnswerHold,
    Connection,
    NotConnectedError,
    UpstreamAnswer,
    UpstreamRequest,
)

_CONNECT_TIMEOUT_S = 0.7
# After this time the kernel gives up a connection with unacknowledged data.
_USER_TIMEOUT_S = 2.5


class CutKind(Enum):
    """What becomes of connections to servers, old and new ones.

    ``refused``: old ones are reset, new ones refused; ``silent``: both hang;
    ``only_old``: old ones live on, new ones are refused.
    """

    refused = 'refused'
    silent = 'silent'
    only_old = 'only-old'


@contextmanager
def cut_from_servers(
    host: FrontService, addresses: list[str], kind: CutKind
) -> Iterator[None]:
    """Cut a host off from servers; it still reaches all else.

    :param addresses: of the servers.
    """
    connections = host._components.cluster.connections  # noqa: SLF001
    open_connection = connections.open
    take_connection = connections.take

    async def fail_to_open(address: str) -> Connection:
        if address not in addresses:
            return await open_connection(address)
        if kind is CutKind.silent:
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
        raise NotConnectedError(kind.value)

    def take_disturbed(
        name: str, address: str, request_id: bytes, **options: Any
    ) -> Any:
        taken = take_connection(name, address, request_id, **options)
        if taken is None or address not in addresses:
            return taken
        if kind is CutKind.silent:
            taken.exchange = _hang  # type: ignore[method-assign,assignment]
        if kind is CutKind.refused:
            taken.close()
        return taken

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connections, 'open', fail_to_open)
        patch.setattr(connections, 'take', take_disturbed)
        yield


async def _hang(
    _request: UpstreamRequest, _hold: AnswerHold, _note_head: object
) -> UpstreamAnswer:
    await asyncio.sleep(_USER_TIMEOUT_S)
    raise AnswerBrokenError('timed out')
