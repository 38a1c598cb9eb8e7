"""Messages between hosts, and the record of a host in the store."""

from ipaddress import IPv4Address
from typing import Annotated

import msgspec
from result import Ok

from crocusshunt.core import (
    DECODE_ERRORS,
    parse_address,
    parse_socket_address,
)
from crocusshunt.crashes import CrashReport

_MAX_PORT = 65_535
# More messages than this tell no leases.
_MAX_PARTS = 255

_Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
_PartNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PARTS)]


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


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='host'):
    """State of a host, sent regularly to the hosts of its region.

    :param started_at: Unix time of its start in milliseconds, by which a
        restart is recognized.
    :param sequence: number of the message since the start.
    :param is_ready: whether callers should be directed to it.
    :param versions: version of its copy of each followed table.
    :param demand: offered requests a second, by customer.
    :param busy: slots that its callers' requests need, by pool, as far as
        servers of any region may serve them.
    :param full: requests at each backend server that recently had no free
        slot, by name of the server.
    :param pinned: slots needed by requests that only one region may serve, by
        that region and by pool.
    :param is_following: whether the store answers its calls.
    :param limits: requests a second that backend servers take from all hosts,
        None for any number, and the age of that report in seconds, by name of
        the server; of servers that had a limit and recently told this host.
    :param crashes: requests under which backend servers crashed recently, as
        this host saw it.
    :param lost_pools: pools of which it reaches no backend server.
    :param is_cut_off: whether it reaches no backend server at all.
    :param draining: backend servers that said to some host that they drain:
        Unix time of the start in milliseconds and seconds since then, by name.
    :param stamp: time of its clock at which it was sent, in seconds; other
        hosts name it in leases to this one. 0 if a :class:`KeptRange` tells
        it.
    :param kept: all customers whose bucket it keeps, none without a stamp.
    :param divisions: only in the reply to a host that started: the share of
        objects that this region serves itself, and the weight of a slot of
        each other region for the rest, by pool.
    :param is_unsure: whether it may have lent parts of rates before it was
        started again; hosts that hear of it drop these leases and reply.
    :param dropped: only in that reply: start of the other host whose former
        leases this one has dropped, see ``started_at``.
    :param parts: number of messages that tell this state; the others are a
        :class:`StatusPart` each.
    """

    name: str
    started_at: int
    sequence: int
    is_ready: bool
    versions: tuple[int, ...] = ()
    demand: dict[str, float] = {}
    busy: dict[str, float] = {}
    full: dict[str, int] = {}
    pinned: dict[str, dict[str, float]] = {}
    is_following: bool = True
    limits: dict[str, tuple[float | None, float]] = {}
    crashes: list[CrashReport] = []
    lost_pools: tuple[str, ...] = ()
    is_cut_off: bool = False
    draining: dict[str, tuple[int, float]] = {}
    stamp: float = 0
    kept: tuple[str, ...] = ()
    divisions: dict[str, tuple[float, dict[str, float]]] = {}
    is_unsure: bool = False
    dropped: int = 0
    parts: int = 1


class RegionSummary(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='region',
):
    """State of a region, sent by one of its hosts to those of other regions.

    With one sender in each region, the traffic between regions grows linearly
    with the number of hosts, not with its square.

    :param name: the host that sends it.
    :param started_at: see :class:`Heartbeat`.
    :param sequence: see :class:`Heartbeat`.
    :param hosts: number of hosts of the region that the sums cover.
    :param versions: version of the sender's copy of each followed table.
    :param demand: offered requests a second, by customer.
    :param busy: see :class:`Heartbeat`.
    :param pinned: see :class:`Heartbeat`.
    :param limits: see :class:`Heartbeat`, but told to any host of the region.
    :param crashes: see :class:`Heartbeat`, but seen by any host, and all
        requests that are quarantined.
    :param relays: names of some ready hosts that reach backend servers.
    :param lost_pools: pools of which the sender reaches no backend server.
    :param draining: see :class:`Heartbeat`.
    :param parts: see :class:`Heartbeat`.
    """

    name: str
    started_at: int
    sequence: int
    region: str
    hosts: int
    versions: tuple[int, ...] = ()
    demand: dict[str, float] = {}
    busy: dict[str, float] = {}
    pinned: dict[str, dict[str, float]] = {}
    limits: dict[str, tuple[float | None, float]] = {}
    crashes: list[CrashReport] = []
    relays: tuple[str, ...] = ()
    lost_pools: tuple[str, ...] = ()
    draining: dict[str, tuple[int, float]] = {}
    parts: int = 1


class StatusPart(msgspec.Struct, frozen=True, array_like=True, tag='more'):
    """What a :class:`Heartbeat` or :class:`RegionSummary` has no space for.

    Its fields have entries beside those of the same status.

    :param name: the host that sends it.
    :param started_at: see :class:`Heartbeat`.
    :param sequence: number of the status that it belongs to.
    """

    name: str
    started_at: int
    sequence: int
    crashes: list[CrashReport] = []
    draining: dict[str, tuple[int, float]] = {}
    limits: dict[str, tuple[float | None, float]] = {}
    busy: dict[str, float] = {}
    demand: dict[str, float] = {}
    full: dict[str, int] = {}


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Request for a token to the keeper, the host with a customer's bucket.

    :param name: the host that sends it.
    :param number: identifies the reply among those to the same host.
    :param patience_s: longest wait for the token, in seconds.
    :param lease: stamp of the keeper until a while after which the sender
        lends its part of the rate, 0 if it does not.
    """

    name: str
    number: int
    customer: str
    patience_s: float
    lease: float = 0


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """Reply to a token request.

    :param name: the host that sends it.
    :param number: number of the request.
    :param keeper: the host that holds the customer's bucket, as far as the
        sender knows; another one than the sender is to be asked instead.
    :param is_granted: whether the token was taken.
    :param wait_s: time until the token is available, in seconds.
    :param stamp: see :class:`Heartbeat`.
    """

    name: str
    number: int
    keeper: str
    is_granted: bool = False
    wait_s: float = 0
    stamp: float = 0


class LeaseNotice(msgspec.Struct, frozen=True, array_like=True, tag='lend'):
    """Leases of a host's parts to the keeper that gets this message.

    :param name: the host that sends it.
    :param stamp: stamp of the keeper until a while after which they hold.
    :param customers: customers whose part it lends.
    """

    name: str
    stamp: float
    customers: tuple[str, ...]


class PartRequest(msgspec.Struct, frozen=True, array_like=True, tag='borrow'):
    """Request for fractions of a host's parts of rates.

    :param name: the host that sends it.
    :param stamp: see :class:`Heartbeat`.
    :param customers: customers of whose rate it needs more; without any, the
        message only tells what follows, and is not answered.
    :param kept: see :class:`Heartbeat`.
    :param accepted: stamp and number of the newest leases of the receiver that
        it has; it uses none of those before.
    :param has_more: whether another request follows; the last one is answered.
    """

    name: str
    stamp: float
    customers: tuple[str, ...]
    kept: tuple[str, ...]
    accepted: tuple[float, int]
    has_more: bool = False


class KeptRange(msgspec.Struct, frozen=True, array_like=True, tag='kept'):
    """Customers whose bucket a host keeps, of those in a range of names.

    Sent where a :class:`Heartbeat` or :class:`PartRequest` has no space for
    all of them.

    :param name: the host that sends it.
    :param stamp: see :class:`Heartbeat`.
    :param customers: all that it keeps of the range.
    :param first: first name of the range.
    :param until: first name behind it, empty if it has no end.
    """

    name: str
    stamp: float
    customers: tuple[str, ...]
    first: str = ''
    until: str = ''


class PartLeases(msgspec.Struct, frozen=True, array_like=True, tag='part'):
    """All leases of a host's parts to the one that gets this message.

    :param name: the host that sends it.
    :param stamp: stamp of the receiver until a while after which they hold.
    :param number: order of the messages with this stamp.
    :param fractions: fraction of its part that it lends, by customer.
    :param part: number of this message among those with these leases.
    :param parts: how many these are.
    """

    name: str
    stamp: float
    number: int
    fractions: dict[str, _Fraction]
    part: _PartNumber = 0
    parts: _PartNumber = 1


class LeaseRecall(msgspec.Struct, frozen=True, array_like=True, tag='recall'):
    """Request to drop the leases that a host gave before it was started.

    :param name: the host that sends it.
    :param started_at: see :class:`Heartbeat`.
    """

    name: str
    started_at: int


class LeasesDropped(
    msgspec.Struct, frozen=True, array_like=True, tag='dropped'
):
    """Reply that the leases of a host's former starts were dropped.

    :param name: the host that sends it.
    :param started_at: start of the host that asked for it.
    """

    name: str
    started_at: int


StatusMessage = Heartbeat | RegionSummary
LeaseMessage = (
    LeaseNotice
    | PartRequest
    | KeptRange
    | PartLeases
    | LeaseRecall
    | LeasesDropped
)
Message = StatusMessage | StatusPart | TokenRequest | TokenReply | LeaseMessage


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_message(content: bytes) -> Message | None:
    """Decode a message of another host; return None if it is malformed."""
    try:
        return msgspec.msgpack.decode(content, type=Message)
    except DECODE_ERRORS:
        return None


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
