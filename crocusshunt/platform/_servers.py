"""Entries that backend servers write of themselves, decoded."""

import msgspec
from result import Err, Ok, Result

from crocusshunt.front import MalformedSourceError
from crocusshunt.placement import ServerEntry

_READY = 'ready'
_DRAINING = 'draining'


class _About(msgspec.Struct, frozen=True):
    service: str
    zone: str
    slots: int


class _Status(msgspec.Struct, frozen=True):
    state: str
    # How much longer the server stays slow after its start, in seconds, as
    # of the moment at which the entry was written.
    cold_left_s: float = 0


class _Entry(msgspec.Struct, frozen=True):
    address: str
    about: _About = msgspec.field(name='info')
    status: _Status
    # Unix time of the server's start in milliseconds, new with each start.
    born: int = 0


def decode_server(
    name: str,
    content: bytes,
) -> Result[ServerEntry, MalformedSourceError]:
    """Return the entry of a backend server, or what is wrong with it.

    :param name: id of the server, which only the row's key tells.
    """
    try:
        entry = msgspec.json.decode(content, type=_Entry)
    except (msgspec.DecodeError, UnicodeError) as error:
        return Err(MalformedSourceError(f'server {name}', str(error)))
    if entry.status.state not in {_READY, _DRAINING} or entry.about.slots < 1:
        problem = f'state {entry.status.state}, slots {entry.about.slots}'
        return Err(MalformedSourceError(f'server {name}', problem))
    if not _is_address(entry.address):
        return Err(MalformedSourceError(f'server {name}', entry.address))
    return Ok(
        ServerEntry(
            name=name,
            pool=entry.about.service,
            address=entry.address,
            failure_domain=entry.about.zone,
            slots=entry.about.slots,
            is_draining=entry.status.state == _DRAINING,
            cold_left_s=entry.status.cold_left_s,
            started_ms=entry.born,
        ),
    )


def _is_address(text: str) -> bool:
    _host, separator, port = text.rpartition(':')
    return bool(separator) and port.isdecimal()
