"""Stored leases that say which host lends the tokens of a shard."""

from hashlib import blake2b

import msgspec

from crocusshunt.core import rank_by_rendezvous

SUPPORT_S = 4
ROW_LEASE_S = 14_400
SHARD_COUNT = 256
_WITNESS_COUNT = 5
_DIGEST_BYTES = 8


class TokenLevel(msgspec.Struct, frozen=True):
    """Tokens of a customer that the lease's last holder left in the bucket."""

    customer: str
    tokens: float


class LeaseRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored row that names the holder of a shard's lease.

    :param holder: name of the holder's host, empty after a release.
    :param incarnation: identifies the holder's process.
    :param epoch: number that grows with each change of holder or witnesses.
    :param witnesses: hosts of which a majority must support the holder.
    :param unfenced: for each earlier holder that may still be lending, its
        witnesses.
    :param levels: tokens left by the holder that released the lease.
    :param released_by: host that released the lease.
    """

    holder: str
    incarnation: str
    epoch: int
    witnesses: tuple[str, ...]
    unfenced: tuple[tuple[str, ...], ...] = ()
    levels: tuple[TokenLevel, ...] = ()
    released_by: str = ''


def find_shard(customer: str) -> str:
    """Return the shard whose lease covers a customer.

    >>> find_shard('court')
    '0081'
    """
    digest = blake2b(customer.encode(), digest_size=_DIGEST_BYTES).digest()
    number = int.from_bytes(digest, 'big') % SHARD_COUNT
    return f'{number:04d}'


def choose_witnesses(
    shard: str,
    domains: dict[str, str],
) -> tuple[str, ...]:
    """Return the witnesses of a shard, at most five.

    Hosts are ranked by rendezvous hashing; the first of each failure domain
    comes before all others.

    :param domains: failure domain of each live host.

    >>> choose_witnesses('0001', {'a1': 'a', 'a2': 'a', 'b1': 'b'})
    ('a2', 'b1', 'a1')
    """
    ranked = rank_by_rendezvous(shard, domains)
    first_by_domain: dict[str, str] = {}
    for candidate in ranked:
        first_by_domain.setdefault(domains[candidate], candidate)
    spread_hosts = tuple(first_by_domain.values())
    others = tuple(host for host in ranked if host not in spread_hosts)
    return (spread_hosts + others)[:_WITNESS_COUNT]


def has_majority(witnesses: tuple[str, ...], agreed: set[str]) -> bool:
    """Tell whether more than half of the witnesses agreed.

    >>> has_majority(('a', 'b', 'c'), {'a', 'c'})
    True
    """
    return len(agreed.intersection(witnesses)) * 2 > len(witnesses)


def encode_lease(row: LeaseRow) -> str:
    """Return the JSON text of a row, as it is stored."""
    return msgspec.json.encode(row).decode()


def decode_lease(body: str) -> LeaseRow | None:
    """Return the row of a stored text, None if the text is invalid."""
    try:
        return msgspec.json.decode(body, type=LeaseRow)
    except msgspec.DecodeError:
        return None
