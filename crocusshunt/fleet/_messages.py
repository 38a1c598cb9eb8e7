"""Messages between hosts."""

import msgspec

from crocusshunt.core import DECODE_ERRORS
from crocusshunt.crashes import CrashReport
from crocusshunt.fleet._lease_messages import (
    LeaseMessage,
    TokenReply,
    TokenRequest,
)


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


StatusMessage = Heartbeat | RegionSummary
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
