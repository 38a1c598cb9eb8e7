"""Notices of leases in datagrams of a bounded size."""

import msgspec

from crocusshunt.fleet._messages import LeaseNotice, encode
from crocusshunt.fleet._parts import MAX_DATAGRAM_BYTES


def split_notice(notice: LeaseNotice) -> tuple[LeaseNotice, ...]:
    """Return notices of one datagram each, of the same leases together.

    >>> names = tuple(f'c{number:03}' for number in range(400))
    >>> notices = split_notice(LeaseNotice('h1', 7, names))
    >>> [len(one.customers) for one in notices]
    [200, 200]
    """
    count = len(notice.customers)
    if count < 2 or len(encode(notice)) <= MAX_DATAGRAM_BYTES:
        return (notice,)
    middle = count // 2
    return tuple(
        part
        for names in (notice.customers[:middle], notice.customers[middle:])
        for part in split_notice(
            msgspec.structs.replace(notice, customers=names)
        )
    )
