"""News that waits to be passed on with probes."""

from heapq import nsmallest
from math import ceil, log2

from crocusshunt.messages import Member

_SPREAD_FACTOR = 3
_NEWS_LIMIT = 8


class GossipQueue:
    """Beliefs to pass on, those passed on least often first, then the newest.

    Each is passed on a number of times that grows with the logarithm of the
    hosts, which reaches all of them with high probability.

    Reference: A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly
    consistent infection-style process group membership protocol", DSN 2002.

    >>> queue = GossipQueue()
    >>> queue.put(Member('h1', 'addis', 'a', '', 'tcp://10.0.0.1:1'))
    >>> [member.name for member in queue.take(hosts=10)]
    ['h1']
    """

    def __init__(self) -> None:
        """Start without news."""
        self._news: dict[str, Member] = {}
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of hosts of which there is news."""
        return len(self._news)

    def put(self, member: Member) -> None:
        """Pass on a belief; an older one of the same host is dropped."""
        self._news.pop(member.name, None)
        self._news[member.name] = member
        self._sent[member.name] = 0

    def take(self, hosts: int) -> tuple[Member, ...]:
        """Return the news for one message.

        :param hosts: number of hosts that the news is to reach.
        """
        limit = _SPREAD_FACTOR * ceil(log2(hosts + 1))
        newest_first = reversed(self._news)
        names = nsmallest(_NEWS_LIMIT, newest_first, key=self._sent.__getitem__)
        chosen = tuple(self._news[name] for name in names)
        for member in chosen:
            self._count(member.name, limit)
        return chosen

    def _count(self, name: str, limit: int) -> None:
        self._sent[name] += 1
        if self._sent[name] >= limit:
            self._news.pop(name)
            self._sent.pop(name)
