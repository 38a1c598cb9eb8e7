"""This host's parts of the limits that backend servers name."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from crocusshunt.core import rank_by_rendezvous
from crocusshunt.fleet import FleetView
from crocusshunt.logs import log_event
from crocusshunt.placement import (
    LimitReport,
    ServerLimits,
    ServerRegistry,
    TrackedServer,
    divide_limit,
    parse_limit,
)
from crocusshunt.sharing import TokenBucket

# Older reports are not sent to other hosts, which know them by then.
_MAX_REPORT_AGE_S = 10
# Requests that a host may send at once, as a time at its part of the limit.
_BURST_S = 0.5
_DIGITS = 2

# Limit of a server, None for none, and the age of that report in seconds.
ReportedLimits = Mapping[str, tuple[float | None, float]]


@dataclass(slots=True)
class LimitedServers:
    """Divides the limits of servers among the hosts of their regions.

    Every host that knows of a limit keeps to its part, which is zero for most
    hosts. So a host must hear from the others when a limit changes.
    """

    limits: ServerLimits = field(default_factory=ServerLimits)
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    @property
    def shares(self) -> dict[str, float]:
        """Return this host's parts, in requests a second, by server."""
        return {name: one.rate for name, one in self._buckets.items()}

    def note_answer(
        self, server: TrackedServer, named: str | None, now: float
    ) -> None:
        """Record the limit that a server names in an answer.

        A server just limited gets nothing until the limit is divided.

        :param named: text of the limit, None for an answer without one.
        :param now: monotonic seconds.
        """
        rate = None if named is None else parse_limit(named)
        name = server.entry.name
        report = LimitReport(rate, now, is_own=True)
        if self.limits.note(name, report):
            log_event('server limit changed', server=name, limit=rate)

    def merge(self, reported: ReportedLimits, now: float) -> None:
        """Record the limits that another host knows.

        :param now: monotonic seconds.
        """
        for server, (rate, age_s) in reported.items():
            report = LimitReport(rate, now - age_s, is_own=False)
            self.limits.note(server, report)

    def export_own(self, now: float) -> ReportedLimits:
        """Return the limits that servers named to this host recently."""
        recent = self.limits.select(_MAX_REPORT_AGE_S, now)
        own = {name: one for name, one in recent.items() if one.is_own}
        return _describe(own, now)

    def export_all(self, now: float) -> ReportedLimits:
        """Return the limits that servers named to any host recently."""
        return _describe(self.limits.select(_MAX_REPORT_AGE_S, now), now)

    def divide(
        self,
        servers: ServerRegistry,
        fleet: FleetView,
        now: float,
        *,
        may_send: bool,
    ) -> None:
        """Recompute this host's part of each limit.

        :param may_send: whether this host accepts requests and reaches
            servers.
        """
        rates = self.limits.rates
        for unlimited in self._buckets.keys() - rates.keys():
            self._buckets.pop(unlimited)
        for name, rate in rates.items():
            server = servers.find(name)
            if server is None:
                self.forget(name)
                continue
            shares = divide_limit(name, rate, _list_senders(server, fleet))
            own = shares.get(fleet.own.name, 0) if may_send else 0
            self._resize(name, own, now)

    def select(
        self, servers: list[TrackedServer], now: float
    ) -> list[TrackedServer]:
        """Return the servers that this host may send a request to now."""
        if not self.limits.has_reports:
            return servers
        return [one for one in servers if self.may_send(one.entry.name, now)]

    def may_send(self, server: str, now: float) -> bool:
        """Tell whether this host may send a request to a server now."""
        if not self.limits.is_limited(server):
            return True
        bucket = self._buckets.get(server)
        return bucket is not None and bucket.estimate_wait(now) <= 0

    def take(self, server: str, now: float) -> None:
        """Count a request that is sent to a server."""
        bucket = self._buckets.get(server)
        if bucket is not None:
            bucket.take(now)

    def estimate_wait(self, servers: Iterable[str]) -> float:
        """Return the mean time between requests to limited servers.

        From all hosts, in seconds.
        """
        rates = self.limits.rates
        total = sum(rates.get(name, 0) for name in servers)
        return 1 / total if total > 0 else _MAX_REPORT_AGE_S

    def forget(self, server: str) -> None:
        """Drop the limit of a server."""
        self.limits.forget(server)
        self._buckets.pop(server, None)

    def _resize(self, server: str, rate: float, now: float) -> None:
        if rate <= 0:
            self._buckets.pop(server, None)
            return
        bucket = self._buckets.setdefault(server, TokenBucket(rate, 1, now))
        bucket.resize(rate, _BURST_S * rate, now)


def _list_senders(server: TrackedServer, fleet: FleetView) -> list[str]:
    """Return the hosts among which a server's limit is divided.

    These are the hosts of its region in the table of hosts, whoever is heard;
    where it has none, those of another region that rendezvous hashing names.
    The part of a host that cannot use it is not used.
    """
    records = [fleet.own, *(peer.record for peer in fleet.peers.values())]
    regions = {record.region for record in records}
    region = server.region
    if region not in regions:
        region = rank_by_rendezvous(server.entry.name, sorted(regions))[0]
    return [record.name for record in records if record.region == region]


def _describe(
    reports: Mapping[str, LimitReport], now: float
) -> dict[str, tuple[float | None, float]]:
    return {
        name: (report.rate, round(now - report.observed_at, _DIGITS))
        for name, report in reports.items()
    }
