"""Which host keeps the tokens of a customer."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.core import rank_by_rendezvous

# Requests a second. A smaller part comes in so few tokens that chance alone
# empties it at one host while others have tokens left.
_LEAST_OWN_PART = 5


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """What a host may admit of a customer's rate.

    :param keeper: the host that keeps the tokens of the whole region, empty
        where each host keeps its own.
    :param rate: of this host, or of the region if this host keeps it, in
        requests a second.
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
    """Return the host that keeps a customer's tokens, empty for each its own.

    Tokens of a small rate are kept in one place: divided among many hosts,
    most of them would lie where no request comes.

    :param rate: of the customer over all hosts, in requests a second.
    :param registered: number of all hosts.
    :param candidates: hosts of the region that live and are ready.

    >>> choose_keeper('court', 100, 10, ('h1', 'h2'))
    ''
    >>> choose_keeper('court', 20, 10, ('h1', 'h2'))
    'h1'
    """
    names = tuple(candidates)
    if not names or rate >= _LEAST_OWN_PART * registered:
        return ''
    return rank_by_rendezvous(customer, names)[0]
