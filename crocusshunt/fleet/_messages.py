"""Messages between hosts, and the record of a host in the store."""

import msgspec


class HostRecord(msgspec.Struct, frozen=True):
    """What a host registers in the store at its start.

    :param ip: address of its internal port.
    :param internal_port: for datagrams and images, both of them.
    :param front_address: where callers connect, ``ip:port``.
    """

    name: str
    ip: str
    internal_port: int
    front_address: str
    failure_domain: str
    region: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells the others about once a second.

    :param started_at: Unix time in milliseconds; tells a restart.
    :param sequence: counts the heartbeats since the start.
    :param is_ready: whether callers should be sent to it.
    :param versions: version of each followed table that it knows.
    :param demand: offered requests a second, by customer.
    :param busy: busy slots of backend servers, by pool.
    """

    name: str
    started_at: int
    sequence: int
    is_ready: bool
    versions: tuple[int, ...] = ()
    demand: dict[str, float] = {}
    busy: dict[str, float] = {}


def encode(message: msgspec.Struct) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode_heartbeat(content: bytes) -> Heartbeat | None:
    """Return a heartbeat, None for bytes that are none."""
    return _decode(content, Heartbeat)


def decode_host(content: bytes) -> HostRecord | None:
    """Return the record of a host, None for bytes that are none."""
    try:
        return msgspec.json.decode(content, type=HostRecord)
    except (msgspec.DecodeError, UnicodeError):
        return None


def _decode(content: bytes, kind: type[Heartbeat]) -> Heartbeat | None:
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except (msgspec.DecodeError, UnicodeError):
        return None
