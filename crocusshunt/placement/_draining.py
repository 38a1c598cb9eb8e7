"""Backend servers that said in a response that they are draining."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import islice

from crocusshunt.placement._entries import ServerEntry

# A draining server is told to other hosts for so long, and remembered longer.
_REPORT_S = 60
_REMEMBER_S = 600
# Most hosts have followed a change of the table after this time. Of servers
# that it has told for longer, so many are told in turn, for late hosts.
_TABLE_S = 6
_LATE_COUNT = 4
_MAX_REPORT_COUNT = 64
_DECIMAL_COUNT = 2
_UNKNOWN_START_MS = -1

# Start in Unix milliseconds and seconds since it was learned, by server.
DrainingReport = Mapping[str, tuple[int, float]]


@dataclass(frozen=True, slots=True)
class _Draining:
    started_ms: int
    learned_at: float


_Named = tuple[str, _Draining]


@dataclass(slots=True)
class DrainingServers:
    """Starts of servers that take no new requests, whatever their entries say.

    >>> draining = DrainingServers()
    >>> draining.note('s1', 7, at=0), draining.note('s1', 7, at=1)
    (True, False)
    >>> server = ServerEntry('s1', 'verify', '10.0.0.1:80', 'a1', 4)
    >>> draining.has(server)
    True
    """

    _servers: dict[str, _Draining] = field(default_factory=dict)

    def note(self, server: str, started_ms: int, at: float) -> bool:
        """Record that a start of a server is draining; return whether news.

        :param at: when it said so, monotonic seconds.
        """
        if started_ms <= self._find_start(server):
            return False
        self._servers[server] = _Draining(started_ms, at)
        return True

    def has(self, server: ServerEntry) -> bool:
        """Tell whether a server is draining; a later start is not."""
        return server.started_ms <= self._find_start(server.name)

    def export(
        self, now: float, is_told_by_table: Callable[[str], bool]
    ) -> DrainingReport:
        """Return the servers that other hosts are told, the newest first.

        :param is_told_by_table: whether the table that all hosts follow says
            of a server that it takes no requests; it needs some time to reach
            them.
        """
        newest_first = sorted(
            self._servers.items(),
            key=lambda one: one[1].learned_at,
            reverse=True,
        )
        recent = [
            (name, one)
            for name, one in newest_first
            if now - one.learned_at < _REPORT_S
        ]
        late = [
            (name, one)
            for name, one in recent
            if now - one.learned_at >= _TABLE_S and is_told_by_table(name)
        ]
        told = [one for one in recent if one not in late]
        told += _choose_in_turn(late, _LATE_COUNT, int(now))
        return {
            name: (one.started_ms, round(now - one.learned_at, _DECIMAL_COUNT))
            for name, one in told[:_MAX_REPORT_COUNT]
        }

    def expire(self, now: float) -> None:
        """Drop servers that are gone by now."""
        self._servers = {
            name: one
            for name, one in self._servers.items()
            if now - one.learned_at < _REMEMBER_S
        }

    def count(self) -> int:
        """Return how many servers are known to drain."""
        return len(self._servers)

    def _find_start(self, server: str) -> int:
        known = self._servers.get(server)
        return _UNKNOWN_START_MS if known is None else known.started_ms


def _choose_in_turn(
    found: list[_Named], count: int, turn: int
) -> Iterator[_Named]:
    """Return some of a list, with each turn the next ones."""
    start = turn * count % len(found) if found else 0
    return islice((*found[start:], *found[:start]), count)
