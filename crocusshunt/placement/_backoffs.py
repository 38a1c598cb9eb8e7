"""Backend servers that asked this host to send nothing for some time."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from crocusshunt.placement._entries import ServerEntry
from crocusshunt.placement._registry import TrackedServer

_MAX_BACKOFF_S = 86_400
# The hosts that a server turned away together return over so long a time: a
# share of the time that it named, and at most so many seconds.
_SPREAD_SHARE = 0.1
_MAX_SPREAD_S = 0.5


@dataclass(frozen=True, slots=True)
class _Backoff:
    """What one start of a server asked for.

    :param until: end of the backoff, monotonic seconds.
    """

    started_ms: int
    until: float


@dataclass(slots=True)
class ServerBackoffs:
    """Times until which servers want no request from this host.

    A backoff belongs to one start of a server. It outlasts the server's entry,
    which may be removed and come back while the server runs.

    >>> backoffs = ServerBackoffs(random.Random(1))
    >>> server = ServerEntry('s1', 'verify', '10.0.0.1:80', 'a1', 4)
    >>> backoffs.note(server, 3, now=0), backoffs.note(server, 1, now=0.5)
    (True, False)
    >>> backoffs.is_backing_off(server, 3), backoffs.is_backing_off(server, 4)
    (True, False)
    """

    random_source: random.Random = field(default_factory=random.Random)
    _backoffs: dict[str, _Backoff] = field(default_factory=dict)

    def note(self, server: ServerEntry, seconds: float, now: float) -> bool:
        """Record that a server asks for a backoff; return whether it begins.

        The longest end that the server named holds.

        :param seconds: from now.
        :param now: monotonic seconds.
        """
        begins = not self.is_backing_off(server, now)
        spread_s = min(_MAX_SPREAD_S, seconds * _SPREAD_SHARE)
        until = now + seconds + self.random_source.uniform(0, spread_s)
        until = max(until, self.find_end(server))
        self._backoffs[server.name] = _Backoff(server.started_ms, until)
        return begins and seconds > 0

    def is_backing_off(self, server: ServerEntry, now: float) -> bool:
        """Tell whether a server wants no request now."""
        return now < self.find_end(server)

    def find_end(self, server: ServerEntry) -> float:
        """Return until when a server wants no request, in monotonic seconds.

        Zero if it asked for nothing.
        """
        known = self._backoffs.get(server.name)
        if known is None or server.started_ms > known.started_ms:
            return 0
        return known.until

    def select(
        self, servers: Sequence[TrackedServer], now: float
    ) -> list[TrackedServer]:
        """Return the servers that take requests now."""
        if not self._backoffs:
            return list(servers)
        return [
            one for one in servers if not self.is_backing_off(one.entry, now)
        ]

    def find_first_end(self, servers: Iterable[TrackedServer]) -> TrackedServer:
        """Return the server whose backoff ends first, of at least one."""
        return min(servers, key=lambda one: self.find_end(one.entry))

    def count(self, now: float) -> int:
        """Return how many servers want no request now."""
        return sum(now < one.until for one in self._backoffs.values())

    def expire(self, now: float) -> None:
        """Drop backoffs that are over."""
        self._backoffs = {
            name: one for name, one in self._backoffs.items() if now < one.until
        }


def parse_retry_after(text: str) -> float | None:
    """Return the seconds that a server names, None if they make no sense.

    Fractions are allowed; dates are not used between hosts and servers.

    >>> parse_retry_after('2.5'), parse_retry_after('3')
    (2.5, 3.0)
    >>> parse_retry_after('-1'), parse_retry_after('soon')
    (None, None)
    >>> parse_retry_after('86401'), parse_retry_after('inf')
    (None, None)
    """
    digits = text.strip().replace('.', '', 1)
    if not digits.isdecimal():
        return None
    seconds = float(text)
    return seconds if seconds <= _MAX_BACKOFF_S else None
