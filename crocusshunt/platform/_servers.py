"""Decoding of the entries that backend servers write about themselves."""

import msgspec
from result import Err, Ok, Result

from crocusshunt.front import MalformedSourceError
from crocusshunt.placement import ServerEntry

_READY = 'ready'
_DRAINING = 'draining'


class _ServerInfo(msgspec.Struct, frozen=True):
    service: str
    zone: str
    slots: int


class _ServerStatus(msgspec.Struct, frozen=True):
    state: str
    # Rest of the time for which the server is slow after its start, in seconds,
    # counted from the time at which the entry was written.
    cold_left_s: float = 0


class _ServerDocument(msgspec.Struct, frozen=True):
    address: str
    server_info: _ServerInfo = msgspec.field(name='info')
    status: _ServerStatus
    # Unix time of the server's start in milliseconds, different for each start.
    born: int = 0


def decode_server(
    name: str,
    content: bytes,
) -> Result[ServerEntry, MalformedSourceError]:
    """Decode the entry of a backend server; an error tells what is wrong.

    :param name: id of the server, which is the key of the row.
    """
    try:
        entry = msgspec.json.decode(content, type=_ServerDocument)
    except (msgspec.DecodeError, UnicodeError) as error:
        return Err(MalformedSourceError(f'server {name}', str(error)))
    if (
        entry.status.state not in {_READY, _DRAINING}
        or entry.server_info.slots < 1
    ):
        problem = f'state {entry.status.state}, slots {entry.server_info.slots}'
        return Err(MalformedSourceError(f'server {name}', problem))
    if not _is_address(entry.address):
        return Err(MalformedSourceError(f'server {name}', entry.address))
    return Ok(
        ServerEntry(
            name=name,
            pool=entry.server_info.service,
            address=entry.address,
            failure_domain=entry.server_info.zone,
            slots=entry.server_info.slots,
            is_draining=entry.status.state == _DRAINING,
            cold_left_s=entry.status.cold_left_s,
            started_ms=entry.born,
        ),
    )


def _is_address(text: str) -> bool:
    _host, separator, port = text.rpartition(':')
    return bool(separator) and port.isdecimal()
