"""Rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

_DIGEST_BYTES = 8


def rank_by_rendezvous(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order names by their rendezvous weight for a key, highest first.

    Removing a name never changes the order of the others, so a host that
    leaves moves only the keys it held.

    :param key: what is placed.
    :param names: the candidates.

    >>> rank_by_rendezvous('bar-office', ('h1', 'h2', 'h3'))
    ('h1', 'h3', 'h2')
    >>> rank_by_rendezvous('bar-office', ('h2', 'h3'))
    ('h3', 'h2')

    Reference: D. Thaler, C. Ravishankar, "Using name-based mappings to
    increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return tuple(
        sorted(names, key=lambda name: (_weigh(key, name), name), reverse=True),
    )


def _weigh(key: str, name: str) -> bytes:
    text = f'{key}\0{name}'.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).digest()
