"""Latencies, outcomes and headroom of one process.

Reference: the histograms are those of G. Tene, "HdrHistogram".
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from crocusshunt.metrics._labels import Labels
from crocusshunt.metrics._records import EndedRequest, OutcomeKind

_LEAST_US = 1
_GREATEST_US = 3_600_000_000
_DIGITS = 2
_US_PER_MS = 1000
_PERCENT = 100


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Bounds of the number of labels, each of which costs memory."""

    max_routes: int = 64
    max_customers: int = 64
    max_regions: int = 32


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """Slots of a pool's backend servers in a region.

    :param in_flight: requests that run on them.
    """

    pool: str
    region: str
    slots: int
    in_flight: int

    @property
    def headroom(self) -> float:
        """Return the share of slots that is free, from 0 to 1.

        >>> PoolRoom('verify', 'addis', slots=8, in_flight=6).headroom
        0.25
        """
        free = max(0, self.slots - self.in_flight)
        return free / self.slots if self.slots else 0


class Latencies:
    """Distribution of durations."""

    def __init__(self) -> None:
        """Start without durations."""
        self._histogram = HdrHistogram(_LEAST_US, _GREATEST_US, _DIGITS)
        self.sum_ms: float = 0

    @property
    def count(self) -> int:
        """Return the number of durations."""
        return int(self._histogram.get_total_count())

    def add(self, duration_ms: float) -> None:
        """Count a duration."""
        duration_us = max(_LEAST_US, int(duration_ms * _US_PER_MS))
        self._histogram.record_value(min(duration_us, _GREATEST_US))
        self.sum_ms += duration_ms

    def find_quantile(self, quantile: float) -> float:
        """Return the duration below which a share of all lies.

        :param quantile: the share, from 0 to 1.
        """
        percentile = quantile * _PERCENT
        value_us = self._histogram.get_value_at_percentile(percentile)
        return float(value_us) / _US_PER_MS


class RequestMetrics:
    """Counts ended requests by route, customer and region.

    >>> metrics = RequestMetrics(MetricsSettings())
    >>> metrics.record(EndedRequest(
    ...     'r1', 0, 12, 'addis', 'h1', OutcomeKind.answered, 200, 'verify',
    ... ))
    >>> round(metrics.latencies['route', 'verify'].find_quantile(0.5))
    12
    """

    def __init__(self, settings: MetricsSettings) -> None:
        """Start without requests."""
        self._labels = {
            'route': Labels(settings.max_routes),
            'customer': Labels(settings.max_customers),
            'region': Labels(settings.max_regions),
        }
        self.latencies: dict[tuple[str, str], Latencies] = {}
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self.refusals: Counter[tuple[str, str]] = Counter()
        self.rooms: dict[tuple[str, str], PoolRoom] = {}

    def record(self, ended: EndedRequest) -> None:
        """Take a request that has ended.

        Only answered requests have a latency that a caller waited for.
        """
        for dimension, label in self._bound(ended):
            self.outcomes[dimension, label, ended.outcome.value] += 1
            if ended.outcome is OutcomeKind.answered:
                held = self.latencies.setdefault(
                    (dimension, label),
                    Latencies(),
                )
                held.add(ended.duration_ms)
        if ended.is_refused:
            customer = self._labels['customer'].bound(ended.customer)
            self.refusals[customer, ended.code] += 1

    def record_room(self, room: PoolRoom) -> None:
        """Take the present room of a pool in a region."""
        self.rooms[room.pool, room.region] = room

    def find_worst_served(self) -> tuple[str, float] | None:
        """Return the customer with the least share answered, and the share."""
        shares = sorted(
            (self._measure_share(customer), customer)
            for customer in self._list_customers()
        )
        if not shares:
            return None
        share, customer = shares[0]
        return customer, share

    def _bound(self, ended: EndedRequest) -> Iterator[tuple[str, str]]:
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

    def _measure_share(self, customer: str) -> float:
        counts = {
            kind: self.outcomes['customer', customer, kind.value]
            for kind in OutcomeKind
        }
        return counts[OutcomeKind.answered] / sum(counts.values())
