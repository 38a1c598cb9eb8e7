"""How many requests a backend server has, as far as one process knows."""

import math
from dataclasses import dataclass

_PARTS = 3
# Reports older than this say little: a slot turns over about once a second.
_REPORT_DECAY_S = 1.0
_PEER_REPORT_AGE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's own word on its load."""

    running: int
    waiting: int
    slots: int


def parse_load(text: str) -> LoadReport | None:
    """Return the report of an answer's header, None if it is unreadable.

    >>> parse_load('3,1,8')
    LoadReport(running=3, waiting=1, slots=8)
    >>> parse_load('3,x') is None
    True
    """
    parts = text.split(',')
    if len(parts) != _PARTS or not all(map(str.isdecimal, parts)):
        return None
    return LoadReport(*map(int, parts))


@dataclass(slots=True)
class ServerLoad:
    """Requests at one server: own ones exactly, others' by its reports.

    >>> load = ServerLoad()
    >>> load.note_report(LoadReport(4, 2, 5), now=0)
    >>> load.estimate(now=0)
    6.0
    """

    in_flight: int = 0
    reported: int = 0
    _others: float = 0
    _reported_at: float = float('-inf')

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take the report of an answer that has just come."""
        self.reported = report.running + report.waiting
        self._others = max(0, self.reported - self.in_flight)
        self._reported_at = now

    def note_peer_report(self, total: int, now: float) -> None:
        """Take what another host lately read of the server's load.

        It may be a heartbeat interval old, so a newer report of its own tells
        this host more.
        """
        if now - self._reported_at < _PEER_REPORT_AGE_S:
            return
        self._others = max(0, total - self.in_flight)
        self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the likely number of requests running or waiting there."""
        age = max(0, now - self._reported_at)
        return self.in_flight + self._others * math.exp(-age / _REPORT_DECAY_S)
