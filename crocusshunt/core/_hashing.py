"""Rendezvous (highest random weight) hashing."""

import math
from collections.abc import Iterable
from hashlib import blake2b

_DIGEST_BYTES = 8
_BITS_PER_BYTE = 8
_DIGEST_RANGE = 1 << (_DIGEST_BYTES * _BITS_PER_BYTE)


def rank_by_rendezvous(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order names by their hash with a key, highest first.

    Removing a name never changes the order of the others, so that only the
    keys assigned to a removed host move.

    :param key: the key to assign.
    :param names: the candidates, such as hosts.

    >>> rank_by_rendezvous('bar-office', ('h1', 'h2', 'h3'))
    ('h1', 'h3', 'h2')
    >>> rank_by_rendezvous('bar-office', ('h2', 'h3'))
    ('h3', 'h2')

    Reference: D. Thaler, C. Ravishankar, "Using name-based mappings to
    increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return tuple(
        sorted(
            names, key=lambda name: (_hash_pair(key, name), name), reverse=True
        ),
    )


def score_rendezvous(key: str, name: str, weight: float) -> float:
    """Return the weighted rendezvous score of a name for a key.

    The score is ``-weight / ln(u)``, where u is the uniform number of the
    key and the name. Over many keys, a name scores highest for a share of
    them in proportion to its weight; a change of one weight moves only keys
    to or from that name.

    :param weight: weight of the name relative to the others, above 0.

    >>> score_rendezvous('7', 's1', 2) == 2 * score_rendezvous('7', 's1', 1)
    True

    Reference: C. Schindelhauer, G. Schomaker, "Weighted distributed hash
    tables", SPAA 2005.
    """
    score: float = -weight / math.log(draw_uniform(key, name))
    return score


def draw_uniform(key: str, name: str) -> float:
    """Hash a key and a name to a number, uniform in the interval (0, 1).

    The same key and name always give the same number.

    >>> draw_uniform('7', 's1') == draw_uniform('7', 's1')
    True
    """
    number = int.from_bytes(_hash_pair(key, name), 'big')
    return (number + 1) / (_DIGEST_RANGE + 2)


def _hash_pair(key: str, name: str) -> bytes:
    text = f'{key}\0{name}'.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).digest()
