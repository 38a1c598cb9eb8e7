"""Updates that wait to be sent along with probes and answers."""

from heapq import nsmallest
from math import ceil, log2

from crocusshunt.messages import Member

_SPREAD_FACTOR = 3
_MAX_UPDATES = 8


class GossipQueue:
    """Queue of member updates for other hosts.

    The updates sent least often come first, then the newest. Each is sent
    3 x ceil(log2(hosts + 1)) times, which reaches all hosts with high
    probability.

    Reference: A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly
    consistent infection-style process group membership protocol", DSN 2002.

    >>> queue = GossipQueue()
    >>> queue.put(Member('h1', 'addis', 'a', '', 'tcp://10.0.0.1:1'))
    >>> [member.name for member in queue.take(hosts=10)]
    ['h1']
    """

    def __init__(self) -> None:
        """Start without updates."""
        self._updates: dict[str, Member] = {}
        self._send_counts: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of hosts with a pending update."""
        return len(self._updates)

    def put(self, member: Member) -> None:
        """Add an update; an older one of the same host is dropped."""
        self._updates.pop(member.name, None)
        self._updates[member.name] = member
        self._send_counts[member.name] = 0

    def take(self, hosts: int) -> tuple[Member, ...]:
        """Return the updates to send with one message, at most 8.

        :param hosts: number of hosts that each update is to reach.
        """
        limit = _SPREAD_FACTOR * ceil(log2(hosts + 1))
        newest_first = reversed(self._updates)
        names = nsmallest(
            _MAX_UPDATES, newest_first, key=self._send_counts.__getitem__
        )
        chosen = tuple(self._updates[name] for name in names)
        for member in chosen:
            self._count(member.name, limit)
        return chosen

    def _count(self, name: str, limit: int) -> None:
        self._send_counts[name] += 1
        if self._send_counts[name] >= limit:
            self._updates.pop(name)
            self._send_counts.pop(name)
