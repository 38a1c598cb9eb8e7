"""Estimates of the number of requests at a backend server."""

import math
from dataclasses import dataclass

from crocusshunt.core import parse_count

_FIELD_COUNT = 3
# Time constant of the decay of a report: a slot gets a new request about once
# a second, so older reports say little.
_REPORT_DECAY_S = 1.0
# Peers' reports are ignored for this long after one of this host.
_OWN_REPORT_PRIORITY_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a server as reported in its answer, in requests."""

    running: int
    waiting: int
    slots: int


def parse_load(text: str) -> LoadReport | None:
    """Parse the load header of an answer; return None if it is malformed.

    The header holds ``running,waiting,slots``.

    >>> parse_load('3,1,8')
    LoadReport(running=3, waiting=1, slots=8)
    >>> parse_load('3,x') is None
    True
    """
    counts = [parse_count(one) for one in text.split(',')]
    known = [one for one in counts if one is not None]
    if len(counts) != _FIELD_COUNT or len(known) != _FIELD_COUNT:
        return None
    return LoadReport(*known)


@dataclass(slots=True)
class ServerLoad:
    """Number of requests at one server.

    Requests of this host are counted. Those of other hosts are estimated from
    the server's last report to this or another host; the estimate decays
    exponentially with the age of the report.

    :param in_flight: requests of this host that the server has not answered,
        without those whose answers this host has no room for yet.
    :param reported: requests running or waiting, by this host's last report.

    >>> load = ServerLoad()
    >>> load.note_report(LoadReport(4, 2, 5), now=0)
    >>> load.estimate(now=0)
    6.0
    """

    in_flight: int = 0
    reported: int = 0
    _others: float = 0
    _reported_at: float = float('-inf')

    @property
    def is_reported(self) -> bool:
        """Tell whether any host read a report of the server."""
        return math.isfinite(self._reported_at)

    def note_hold(self, is_held: bool) -> None:
        """Record that an answer begins or ends to wait for room here."""
        self.in_flight += -1 if is_held else 1

    def note_report(self, report: LoadReport, now: float) -> None:
        """Record the report of an answer that has just arrived."""
        self.reported = report.running + report.waiting
        self._others = max(0, self.reported - self.in_flight)
        self._reported_at = now

    def note_peer_report(self, total: int, now: float) -> None:
        """Record the load that another host read from a server's report.

        It may be a heartbeat interval old, so it is ignored while this host
        has a recent report of its own.

        :param total: requests running or waiting at the server.
        """
        if now - self._reported_at < _OWN_REPORT_PRIORITY_S:
            return
        self._others = max(0, total - self.in_flight)
        self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the estimated number of requests running or waiting."""
        age = max(0, now - self._reported_at)
        return self.in_flight + self._others * math.exp(-age / _REPORT_DECAY_S)
