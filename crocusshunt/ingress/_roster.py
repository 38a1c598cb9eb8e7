"""Connections of one port, in the order in which they may be given up."""

from collections.abc import Callable
from typing import Generic, TypeVar

# A connection that was idle between requests for so long may be given up.
_MIN_IDLE_S = 1
# How often all connections are looked at for one that is stalled.
_SEARCH_INTERVAL_S = 0.1

Member = TypeVar('Member')


class Roster(Generic[Member]):
    """Chooses the connection that makes room for a new one.

    >>> roster = Roster[str](2)
    >>> roster.add('old', 0)
    >>> roster.add('new', 1)
    >>> roster.note_busy('old')
    >>> roster.choose(lambda _name: True, now=1)
    'new'
    >>> roster.note_busy('new')
    >>> roster.note_idle('old', 2)
    >>> roster.choose(lambda _name: True, now=2.5)
    >>> roster.choose(lambda _name: True, now=3)
    'old'
    >>> brief = Roster[str](1, is_brief=True)
    >>> brief.add('stuck', 0)
    >>> brief.note_busy('stuck')
    >>> brief.choose(lambda _name: True, now=1)
    'stuck'
    """

    def __init__(self, limit: int, *, is_brief: bool = False) -> None:
        """Begin without connections.

        :param limit: most connections.
        :param is_brief: whether requests take so little time that the oldest
            connection may be given up, if no other one may.
        """
        self._limit = limit
        self._is_brief = is_brief
        self._searched_at = float('-inf')
        self._members: dict[Member, float] = {}
        # Those without a whole request so far, the oldest first.
        self._silent: dict[Member, float] = {}
        # Those between requests, the longest idle first.
        self._idle: dict[Member, float] = {}

    @property
    def is_full(self) -> bool:
        """Tell whether there are as many connections as there may be."""
        return len(self._members) >= self._limit

    def add(self, member: Member, now: float) -> None:
        """Count a new connection."""
        self._members[member] = now
        self._silent[member] = now

    def drop(self, member: Member) -> None:
        """Forget a connection."""
        self._members.pop(member, None)
        self.note_busy(member)

    def note_busy(self, member: Member) -> None:
        """Note that a request of a connection has begun."""
        self._silent.pop(member, None)
        self._idle.pop(member, None)

    def note_idle(self, member: Member, now: float) -> None:
        """Note that a response was written."""
        if member in self._members:
            self._idle.pop(member, None)
            self._idle[member] = now

    def choose(
        self, is_idle: Callable[[Member], bool], now: float
    ) -> Member | None:
        """Return the connection to close for a new one, None if there is none.

        :param is_idle: tells whether one that wrote a response owes nothing.
        """
        if self._silent:
            return next(iter(self._silent))
        for member, idle_since in self._idle.items():
            if now - idle_since < _MIN_IDLE_S:
                break
            if is_idle(member):
                return member
        return next(iter(self._members)) if self._is_brief else None

    def find_stalled(
        self, measure_stall: Callable[[Member], float], now: float
    ) -> Member | None:
        """Return the connection whose request comes no further for longest.

        :param measure_stall: returns the seconds since the last piece of a
            request that isn't whole, 0 if there is none.
        """
        if now - self._searched_at < _SEARCH_INTERVAL_S or not self._members:
            return None
        self._searched_at = now
        found = max(self._members, key=measure_stall)
        return found if measure_stall(found) >= _MIN_IDLE_S else None
