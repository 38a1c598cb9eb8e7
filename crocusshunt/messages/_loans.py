"""Messages about loans of admission tokens and about leases.

Customers are grouped into shards. The controller that holds the lease of a
shard keeps the token buckets of its customers, and lends tokens only while
witnesses support the lease.
"""

import msgspec

from crocusshunt.limits import Settlement
from crocusshunt.messages._bodies import Body, register_body


@register_body('borrow-tokens')
class BorrowTokens(Body, frozen=True):
    """Requests admission tokens of a customer.

    :param loan_id: the same in every repetition of the request, so that the
        tokens are lent only once.
    :param wanted: number of tokens requested.
    :param settled: earlier loans of the gateway that have ended.
    :param borrower: host of the borrowing gateway, set by its controller.
    :param hops: number of controllers that forwarded the message.
    """

    loan_id: str
    customer: str
    wanted: int
    settled: tuple[Settlement, ...] = ()
    borrower: str = ''
    hops: int = 0


@register_body('token-loan')
class TokenLoan(Body, frozen=True):
    """Grants tokens to a gateway.

    :param granted: number of tokens, possibly 0.
    :param lifetime_s: validity of the tokens in seconds, counted from when
        the request was sent; unused tokens are void after it.
    :param retry_after_s: seconds until more tokens may be available.
    :param remaining: whole tokens left in the customer's bucket.
    :param rate: refill rate of the bucket, in tokens per second.
    :param burst: capacity of the bucket, in tokens.
    """

    loan_id: str
    granted: int
    lifetime_s: float
    retry_after_s: float
    remaining: int
    rate: float
    burst: int


class LeaseEpoch(msgspec.Struct, frozen=True, array_like=True):
    """The lease of a shard in one epoch.

    Each change of the holder or of the witnesses raises the epoch.
    """

    shard: str
    epoch: int


class FencedLease(msgspec.Struct, frozen=True, array_like=True):
    """A shard whose earlier lease holders the witness no longer supports.

    :param wait_s: seconds until the support that the witness gave to an
        earlier holder has expired.
    """

    shard: str
    wait_s: float


@register_body('renew-leases')
class RenewLeases(Body, frozen=True):
    """Requests support of the sender's leases and fencing of earlier holders.

    :param supports: leases in use, whose support is to be renewed.
    :param fences: leases that the sender acquired and may not use until the
        earlier holders are fenced.
    """

    supports: tuple[LeaseEpoch, ...] = ()
    fences: tuple[LeaseEpoch, ...] = ()


@register_body('leases-renewed')
class LeasesRenewed(Body, frozen=True):
    """Reports which requested leases a witness supports or has fenced.

    :param supported: shards for which it supports the sender.
    :param fenced: shards for which it fenced the earlier holders.
    """

    supported: tuple[str, ...] = ()
    fenced: tuple[FencedLease, ...] = ()
