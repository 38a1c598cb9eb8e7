"""Versions of a store that may come back from an older copy.

Such a store gives out versions again. Each return begins a new era, and a
version is a pair of era and number, compared era first. It is kept as one
integer, so that copies, feeds and messages compare versions as they are.

The idea of a version that only ever rises, whatever its parts do, is also that
of an epoch in replicated logs.
Reference: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014 (terms).
"""

_NUMBER_BITS = 40
MAX_NUMBER = (1 << _NUMBER_BITS) - 1


def join_version(era: int, number: int) -> int:
    """Return the version of a number that the store gave out in an era.

    :param era: how often the store came back from a copy, from 0.

    >>> join_version(0, 7), join_version(1, 7) > join_version(0, 9000)
    (7, True)
    """
    return (era << _NUMBER_BITS) + number


def find_era(version: int) -> int:
    """Return the era of a version, -1 for the one before any was read.

    >>> find_era(join_version(3, 7)), find_era(-1)
    (3, -1)
    """
    return version >> _NUMBER_BITS


def find_number(version: int) -> int:
    """Return the number that the store knows a version by.

    >>> find_number(join_version(3, 7))
    7
    """
    return version & MAX_NUMBER
