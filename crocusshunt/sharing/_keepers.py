"""Choice of the host that holds a customer's token bucket."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.core import rank_by_rendezvous

# In requests a second. With a smaller part for each host, random variation
# alone empties the bucket of one host while others have tokens left.
_MIN_RATE_PER_HOST = 5


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """What a host may admit of a customer's rate.

    :param keeper: the host that holds the token bucket of the whole region,
        empty if each host has a bucket of its own.
    :param rate: part of this host, in requests a second. It lends its part to
        the keeper.
    :param burst: part of the customer's burst, in requests.
    """

    keeper: str
    rate: float
    burst: float


def choose_keeper(
    customer: str,
    rate: float,
    registered: int,
    candidates: Iterable[str],
) -> str:
    """Return the keeper: the host that holds a customer's bucket.

    Empty if each host has a bucket of its own. A small rate gets one bucket in
    each region: divided among many hosts, most of its tokens would be at hosts
    that get no request. The keeper is found by rendezvous hashing, so that all
    hosts of the region choose the same one.

    :param rate: rate of the customer over all hosts, in requests a second.
    :param registered: number of registered hosts in all regions.
    :param candidates: hosts of the region that are alive and ready.

    >>> choose_keeper('court', 100, 10, ('h1', 'h2'))
    ''
    >>> choose_keeper('court', 20, 10, ('h1', 'h2'))
    'h1'
    """
    names = tuple(candidates)
    if not names or rate >= _MIN_RATE_PER_HOST * registered:
        return ''
    return rank_by_rendezvous(customer, names)[0]
