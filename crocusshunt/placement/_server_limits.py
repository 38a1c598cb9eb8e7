"""Limits that backend servers name: requests a second, from all hosts."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from crocusshunt.core import rank_by_rendezvous

# Requests a second that a host must be able to send so that it is worth being
# one of those that share a server's limit.
_MIN_RATE_PER_HOST = 1


# In requests a second. A server that takes fewer still gets one in some
# seconds, whose answer tells whether it takes more by now.
_MIN_RATE = 0.2


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a server last said about its limit.

    :param rate: requests a second from all hosts, None for no limit.
    :param observed_at: when it said so, monotonic seconds.
    :param is_own: whether this host got the answer.
    """

    rate: float | None
    observed_at: float
    is_own: bool


@dataclass(slots=True)
class ServerLimits:
    """The limits of servers, from their answers and from other hosts.

    >>> limits = ServerLimits()
    >>> limits.note('s1', LimitReport(2.5, 10, is_own=True))
    True
    >>> limits.rates
    {'s1': 2.5}
    >>> limits.note('s1', LimitReport(None, 9, is_own=False))
    False
    >>> limits.note('s1', LimitReport(None, 11, is_own=False))
    True
    >>> limits.rates
    {}
    """

    _reports: dict[str, LimitReport] = field(default_factory=dict)

    @property
    def rates(self) -> dict[str, float]:
        """Return the limits in force, in requests a second, by server."""
        return {
            name: report.rate
            for name, report in self._reports.items()
            if report.rate is not None
        }

    @property
    def has_reports(self) -> bool:
        """Tell whether any server named a limit."""
        return bool(self._reports)

    def is_limited(self, server: str) -> bool:
        """Tell whether a server has a limit."""
        report = self._reports.get(server)
        return report is not None and report.rate is not None

    def note(self, server: str, report: LimitReport) -> bool:
        """Record a report unless a newer one is known.

        That a server has no limit is recorded only if it had one.

        :return: whether this changed its limit.
        """
        known = self._reports.get(server)
        if known is None:
            if report.rate is not None:
                self._reports[server] = report
            return report.rate is not None
        if report.observed_at < known.observed_at:
            return False
        self._reports[server] = report
        return known.rate != report.rate

    def select(self, max_age_s: float, now: float) -> dict[str, LimitReport]:
        """Return the recent reports, by server.

        :param max_age_s: in seconds.
        :param now: monotonic seconds.
        """
        return {
            name: report
            for name, report in self._reports.items()
            if now - report.observed_at <= max_age_s
        }

    def forget(self, server: str) -> None:
        """Drop what a server said."""
        self._reports.pop(server, None)


def parse_limit(text: str) -> float | None:
    """Return the limit that a server names, None if it is not a rate.

    >>> parse_limit('2.5'), parse_limit('-1'), parse_limit('inf')
    (2.5, None, None)
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate < math.inf else None


def divide_limit(
    server: str, rate: float, hosts: Iterable[str]
) -> dict[str, float]:
    """Divide a server's limit equally among some hosts.

    A host may send one request at any time, however small its part is. So a
    small limit goes to few hosts, which rendezvous hashing names, and the
    bursts of all stay below the limit.

    :param rate: requests a second from all hosts.
    :param hosts: names of the hosts that may send to the server.

    >>> divide_limit('s1', 2.5, ('h1', 'h2', 'h3', 'h4'))
    {'h1': 1.25, 'h4': 1.25}
    >>> divide_limit('s1', 0.5, ('h1', 'h2'))
    {'h1': 0.5}
    """
    senders = max(1, math.floor(rate / _MIN_RATE_PER_HOST))
    chosen = rank_by_rendezvous(server, hosts)[:senders]
    return {name: max(_MIN_RATE, rate) / len(chosen) for name in chosen}
