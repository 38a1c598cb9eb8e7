"""The record of a host in the store."""

from ipaddress import IPv4Address
from typing import Annotated

import msgspec
from result import Ok

from crocusshunt.core import (
    DECODE_ERRORS,
    parse_address,
    parse_socket_address,
)

_MAX_PORT = 65_535

_Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]


class HostRecord(msgspec.Struct, frozen=True):
    """Record that a host writes to the store at its start.

    :param ip: address at which its internal port is open.
    :param internal_port: port for messages from other hosts (UDP) and for
        images, that is copies of tables (TCP).
    :param front_address: where callers connect, ``ip:port``.
    """

    name: str
    ip: str
    internal_port: _Port
    front_address: str
    failure_domain: str
    region: str


def decode_host(name: str, content: bytes) -> HostRecord | None:
    """Decode the record of a host; return None if it is malformed.

    :param name: of the host, which is the key of the row.
    """
    try:
        record = msgspec.json.decode(content, type=HostRecord)
    except DECODE_ERRORS:
        return None
    if record.name != name or not _is_ipv4(record.ip):
        return None
    if parse_socket_address(record.front_address).is_err():
        return None
    return record


def _is_ipv4(text: str) -> bool:
    """Tell whether a text is an address that the hosts' ports can send to."""
    parsed = parse_address(text)
    return (
        isinstance(parsed, Ok)
        and str(parsed.ok_value) == text
        and (isinstance(parsed.ok_value, IPv4Address))
    )
