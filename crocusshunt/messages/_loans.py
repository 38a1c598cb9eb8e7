"""Bodies of the messages about loans of tokens and leases."""

import msgspec

from crocusshunt.limits import Settlement
from crocusshunt.messages._bodies import Body, register_body


@register_body('borrow-tokens')
class BorrowTokens(Body, frozen=True):
    """Asks for admission tokens of a customer.

    :param loan_id: identifies the loan when the message is repeated.
    :param wanted: number of tokens wanted.
    :param settled: the borrower's earlier loans that are over.
    :param borrower: host of the borrowing gateway, set by its controller.
    :param hops: controllers that passed the message on.
    """

    loan_id: str
    customer: str
    wanted: int
    settled: tuple[Settlement, ...] = ()
    borrower: str = ''
    hops: int = 0


@register_body('token-loan')
class TokenLoan(Body, frozen=True):
    """Tokens lent to a gateway.

    :param granted: number of tokens, possibly none.
    :param lifetime_s: seconds from the sending of the request after which
        unused tokens are void.
    :param retry_after_s: seconds until more tokens may be had.
    :param remaining: whole tokens left at the home.
    :param rate: tokens a second that the customer gains.
    :param burst: most tokens that the customer can hold.
    """

    loan_id: str
    granted: int
    lifetime_s: float
    retry_after_s: float
    remaining: int
    rate: float
    burst: int


class LeaseEpoch(msgspec.Struct, frozen=True, array_like=True):
    """A shard's lease at an epoch."""

    shard: str
    epoch: int


class FencedLease(msgspec.Struct, frozen=True, array_like=True):
    """A shard whose earlier holders get no more support.

    :param wait_s: seconds until support given before is over.
    """

    shard: str
    wait_s: float


@register_body('renew-leases')
class RenewLeases(Body, frozen=True):
    """Asks a witness to support the sender and to fence others.

    :param supports: leases that the sender holds.
    :param fences: leases that the sender took and may not use yet.
    """

    supports: tuple[LeaseEpoch, ...] = ()
    fences: tuple[LeaseEpoch, ...] = ()


@register_body('leases-renewed')
class LeasesRenewed(Body, frozen=True):
    """What a witness agreed to.

    :param supported: shards whose holder it supports.
    """

    supported: tuple[str, ...] = ()
    fenced: tuple[FencedLease, ...] = ()
