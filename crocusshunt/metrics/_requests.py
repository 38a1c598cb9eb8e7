"""Latencies, outcomes and pool headroom, as one process sees them.

Latencies are kept in HDR histograms (G. Tene, "HdrHistogram").
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from crocusshunt.metrics._labels import Labels
from crocusshunt.metrics._records import EndedRequest, OutcomeKind

_MIN_US = 1
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000
_PERCENT = 100


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Limits of the number of label values, each of which costs memory."""

    max_routes: int = 64
    max_customers: int = 64
    max_regions: int = 32


@dataclass(frozen=True, slots=True)
class PoolUsage:
    """Usage of the slots of a pool's backend servers in a region.

    :param slots: number of requests that the servers can run at once.
    :param in_flight: number of requests that run on them.
    """

    pool: str
    region: str
    slots: int
    in_flight: int

    @property
    def headroom(self) -> float:
        """Return the share of slots that are free, from 0 to 1.

        >>> PoolUsage('verify', 'addis', slots=8, in_flight=6).headroom
        0.25
        """
        free = max(0, self.slots - self.in_flight)
        return free / self.slots if self.slots else 0


class Latencies:
    """Distribution of durations, from 1 microsecond to 1 hour."""

    def __init__(self) -> None:
        """Create an empty distribution."""
        self._histogram = HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
        self.sum_ms: float = 0

    @property
    def count(self) -> int:
        """Return the number of durations."""
        return int(self._histogram.get_total_count())

    def add(self, duration_ms: float) -> None:
        """Add a duration in milliseconds."""
        duration_us = max(_MIN_US, int(duration_ms * _US_PER_MS))
        self._histogram.record_value(min(duration_us, _MAX_US))
        self.sum_ms += duration_ms

    def find_quantile(self, quantile: float) -> float:
        """Return a quantile of the durations, in milliseconds.

        :param quantile: share of the durations, from 0 to 1, that are not
            longer.
        """
        percentile = quantile * _PERCENT
        value_us = self._histogram.get_value_at_percentile(percentile)
        return float(value_us) / _US_PER_MS


class RequestMetrics:
    """Counts ended requests, and keeps their latencies.

    Both are kept by route, by customer and by region.

    >>> metrics = RequestMetrics(MetricsSettings())
    >>> metrics.record(EndedRequest(
    ...     'r1', 0, 12, 'addis', 'h1', OutcomeKind.answered, 200, 'verify',
    ... ))
    >>> round(metrics.latencies['route', 'verify'].find_quantile(0.5))
    12
    """

    def __init__(self, settings: MetricsSettings) -> None:
        """Start without any requests."""
        self._labels = {
            'route': Labels(settings.max_routes),
            'customer': Labels(settings.max_customers),
            'region': Labels(settings.max_regions),
        }
        self.latencies: dict[tuple[str, str], Latencies] = {}
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self.refusals: Counter[tuple[str, str]] = Counter()
        self.pool_usages: dict[tuple[str, str], PoolUsage] = {}

    def record(self, ended: EndedRequest) -> None:
        """Record a request that has ended.

        Only answered requests have a latency: for others no caller waited
        until the response.
        """
        for dimension, label in self._bound_labels(ended):
            self.outcomes[dimension, label, ended.outcome.value] += 1
            if ended.outcome is OutcomeKind.answered:
                durations = self.latencies.setdefault(
                    (dimension, label),
                    Latencies(),
                )
                durations.add(ended.duration_ms)
        if ended.is_refused:
            customer = self._labels['customer'].bound(ended.customer)
            self.refusals[customer, ended.code] += 1

    def record_pool_usage(self, usage: PoolUsage) -> None:
        """Record the current usage of a pool in a region."""
        self.pool_usages[usage.pool, usage.region] = usage

    def find_worst_served(self) -> tuple[str, float] | None:
        """Return the customer with the lowest share answered, and the share."""
        shares = sorted(
            (self._compute_answered_share(customer), customer)
            for customer in self._list_customers()
        )
        if not shares:
            return None
        share, customer = shares[0]
        return customer, share

    def _bound_labels(self, ended: EndedRequest) -> Iterator[tuple[str, str]]:
        values = (
            ('route', ended.route),
            ('customer', ended.customer),
            ('region', ended.region),
        )
        for dimension, label in values:
            if label:
                yield dimension, self._labels[dimension].bound(label)

    def _list_customers(self) -> set[str]:
        return {
            label
            for dimension, label, _outcome in self.outcomes
            if dimension == 'customer'
        }

    def _compute_answered_share(self, customer: str) -> float:
        counts = {
            kind: self.outcomes['customer', customer, kind.value]
            for kind in OutcomeKind
        }
        return counts[OutcomeKind.answered] / sum(counts.values())
