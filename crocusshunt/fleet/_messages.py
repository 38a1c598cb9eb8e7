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


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='host'):
    """What a host tells the hosts of its region.

    :param started_at: Unix time in milliseconds; tells a restart.
    :param sequence: counts the messages since the start.
    :param is_ready: whether callers should be sent to it.
    :param versions: version of each followed table that it knows.
    :param demand: offered requests a second, by customer.
    :param busy: busy slots of backend servers, by pool.
    :param full: requests at backend servers that had no free slot lately.
    """

    name: str
    started_at: int
    sequence: int
    is_ready: bool
    versions: tuple[int, ...] = ()
    demand: dict[str, float] = {}
    busy: dict[str, float] = {}
    full: dict[str, int] = {}


class RegionSummary(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='region',
):
    """What one host of a region tells the hosts of all other regions.

    So the bytes between regions grow with the hosts, not with their square.

    :param name: the host that sends it.
    :param hosts: hosts of the region that the sums cover.
    :param demand: offered requests a second, by customer.
    :param busy: busy slots of backend servers, by pool.
    """

    name: str
    started_at: int
    sequence: int
    region: str
    hosts: int
    versions: tuple[int, ...] = ()
    demand: dict[str, float] = {}
    busy: dict[str, float] = {}


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Asks the host that keeps a customer's tokens for one.

    :param name: the host that asks.
    :param number: tells the answers to one host's asks apart.
    :param patience_s: how long the request may wait for it.
    """

    name: str
    number: int
    customer: str
    patience_s: float


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """Answers an ask.

    :param name: the host that answers.
    :param keeper: the host that keeps the tokens, as the answerer sees it.
    :param wait_s: until the token is there.
    """

    name: str
    number: int
    keeper: str
    is_granted: bool = False
    wait_s: float = 0


StatusMessage = Heartbeat | RegionSummary
Message = StatusMessage | TokenRequest | TokenReply


def encode(message: msgspec.Struct) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode_message(content: bytes) -> Message | None:
    """Return a message of another host, None for bytes that are none."""
    try:
        return msgspec.msgpack.decode(content, type=Message)
    except (msgspec.DecodeError, UnicodeError):
        return None


def decode_host(content: bytes) -> HostRecord | None:
    """Return the record of a host, None for bytes that are none."""
    try:
        return msgspec.json.decode(content, type=HostRecord)
    except (msgspec.DecodeError, UnicodeError):
        return None
