"""Messages between hosts about tokens and leases of rates."""

from typing import Annotated

import msgspec

# More messages than this tell no leases.
_MAX_PART_COUNT = 255

_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
_PartNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PART_COUNT)]


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


LeaseMessage = (
    LeaseNotice
    | PartRequest
    | KeptRange
    | PartLeases
    | LeaseRecall
    | LeasesDropped
)
