"""Decoding of the entries that backend servers write about themselves."""

from typing import Annotated

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import DECODE_ERRORS, parse_socket_address
from crocusshunt.front import MalformedSourceError
from crocusshunt.placement import ServerEntry

_READY = 'ready'
_DRAINING = 'draining'
_MAX_SLOT_COUNT = 65_536
_MAX_COLD_S = 86_400
# Larger integers are not the same in all languages that may read them.
_MAX_EXACT_INTEGER = 9_007_199_254_740_992

_SlotCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOT_COUNT)]
_ColdTime = Annotated[float, msgspec.Meta(le=_MAX_COLD_S)]
_UnixTime = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT_INTEGER)]
_Sequence = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT_INTEGER)]


class _ServerInfo(msgspec.Struct, frozen=True):
    service: str
    # Of its software; not used, but an entry without it names no server.
    version: str
    zone: str
    slots: _SlotCount


class _ServerStatus(msgspec.Struct, frozen=True):
    state: str
    # Number of the entry since the start; not used either.
    sequence: _Sequence
    # Rest of the time for which the server is slow after its start, in seconds,
    # counted from the time at which the entry was written.
    cold_left_s: _ColdTime = 0


class _ServerDocument(msgspec.Struct, frozen=True):
    address: str
    server_info: _ServerInfo = msgspec.field(name='info')
    status: _ServerStatus
    # Unix time of the server's start in milliseconds, different for each start.
    born: _UnixTime = 0


def decode_server(
    name: str,
    content: bytes,
) -> Result[ServerEntry, MalformedSourceError]:
    """Decode the entry of a backend server; an error tells what is wrong.

    :param name: id of the server, which is the key of the row.
    """
    try:
        entry = msgspec.json.decode(content, type=_ServerDocument)
    except DECODE_ERRORS as error:
        return Err(MalformedSourceError(f'server {name}', str(error)))
    problem = _find_problem(name, entry)
    if problem:
        return Err(MalformedSourceError(f'server {name}', problem))
    return Ok(
        ServerEntry(
            name=name,
            pool=entry.server_info.service,
            address=entry.address,
            failure_domain=entry.server_info.zone,
            slots=entry.server_info.slots,
            is_draining=entry.status.state == _DRAINING,
            cold_left_s=max(0, entry.status.cold_left_s),
            started_ms=entry.born,
        ),
    )


def _find_problem(name: str, entry: _ServerDocument) -> str:
    """Return why a server cannot be used, empty if it can."""
    # Requests name it in a header, which carries no such characters.
    if not name.isprintable() or name.strip() != name or not name:
        return 'name unusable in a header'
    if entry.status.state not in {_READY, _DRAINING}:
        return f'state {entry.status.state}'
    if parse_socket_address(entry.address).is_err():
        return f'address {entry.address}'
    return ''
