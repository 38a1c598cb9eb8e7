"""Servers that fail clearly more often than their peers."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OutlierBounds:
    """When a share of bad answers is too high.

    :param threshold: share at which a server is ejected.
    :param newest_weight: weight of the newest answer in the share, an
        exponential moving average.
    :param min_answers: answers needed before the share is used.
    """

    threshold: float = 0.5
    newest_weight: float = 0.15
    min_answers: int = 6


def is_outlier(
    share: float,
    peer_shares: Sequence[float],
    threshold: float,
    max_peer_share: float,
) -> bool:
    """Tell whether a server fails often while its peers do not.

    Load pattern: all servers of a pool reject or fail the same part of their
    requests, as in an overload. Ejecting them one after the other moves their
    objects to servers that must load them first, and leaves fewer servers for
    the same load, so more requests fail than before.

    :param share: share of the server's bad answers.
    :param peer_shares: the same for the other servers of its pool.
    :param threshold: lowest share of an outlier.
    :param max_peer_share: highest mean share of its peers.

    >>> is_outlier(0.6, [0.1, 0], threshold=0.5, max_peer_share=0.25)
    True
    >>> is_outlier(0.6, [0.5, 0.6], threshold=0.5, max_peer_share=0.25)
    False
    """
    mean = sum(peer_shares) / len(peer_shares) if peer_shares else 0
    return share >= threshold and mean <= max_peer_share
