"""Rendezvous hashing."""

import math
from collections.abc import Iterable
from hashlib import blake2b

_DIGEST_BYTES = 8
_BITS_PER_BYTE = 8
_DIGEST_RANGE = 1 << (_DIGEST_BYTES * _BITS_PER_BYTE)


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


def score_rendezvous(key: str, name: str, weight: float) -> float:
    """Return the weighted rendezvous score of a name for a key.

    Over many keys, a name scores highest for a share of them in proportion
    to its weight; a change of one weight moves only keys to or from it.

    :param weight: share of the name relative to the others, above 0.

    >>> score_rendezvous('7', 's1', 2) == 2 * score_rendezvous('7', 's1', 1)
    True

    Reference: C. Schindelhauer, G. Schomaker, "Weighted distributed hash
    tables", SPAA 2005.
    """
    score: float = -weight / math.log(draw_uniform(key, name))
    return score


def draw_uniform(key: str, name: str) -> float:
    """Return a number in (0, 1) that two texts determine.

    >>> draw_uniform('7', 's1') == draw_uniform('7', 's1')
    True
    """
    drawn = int.from_bytes(_weigh(key, name), 'big')
    return (drawn + 1) / (_DIGEST_RANGE + 2)


def _weigh(key: str, name: str) -> bytes:
    text = f'{key}\0{name}'.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).digest()
