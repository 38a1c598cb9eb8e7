"""Metrics in the Prometheus text format.

They come from a registry of their own, not from the global one.
"""

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from crocusshunt.metrics._requests import RequestMetrics

_QUANTILES = (0.5, 0.9, 0.99, 0.999)


class _RequestCollector(Collector):
    def __init__(self, metrics: RequestMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Yield all metric families with their values at a scrape."""
        yield self._collect_outcomes()
        yield self._collect_refusals()
        yield from self._collect_latencies()
        yield self._collect_headroom()
        yield from self._collect_worst_served()

    def _collect_outcomes(self) -> Metric:
        family = CounterMetricFamily(
            'crocus_requests',
            'Ended requests.',
            labels=('dimension', 'label', 'outcome'),
        )
        for labels, count in sorted(self._metrics.outcomes.items()):
            family.add_metric(labels, count)
        return family

    def _collect_refusals(self) -> Metric:
        family = CounterMetricFamily(
            'crocus_requests_refused',
            'Requests refused for a reason that is not their own.',
            labels=('customer', 'code'),
        )
        for labels, count in sorted(self._metrics.refusals.items()):
            family.add_metric(labels, count)
        return family

    def _collect_latencies(self) -> Iterator[Metric]:
        quantiles = GaugeMetricFamily(
            'crocus_request_duration_milliseconds',
            'Durations of answered requests since the start, by quantile.',
            labels=('dimension', 'label', 'quantile'),
        )
        sums = CounterMetricFamily(
            'crocus_request_duration_milliseconds_sum',
            'Sum of the durations of answered requests.',
            labels=('dimension', 'label'),
        )
        for labels, latencies in sorted(
            self._metrics.latencies.items(),
            key=lambda entry: entry[0],
        ):
            sums.add_metric(labels, latencies.sum_ms)
            for quantile in _QUANTILES:
                quantiles.add_metric(
                    (*labels, str(quantile)),
                    latencies.find_quantile(quantile),
                )
        yield quantiles
        yield sums

    def _collect_headroom(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_pool_headroom_ratio',
            'Share of slots that is free.',
            labels=('pool', 'region'),
        )
        for labels, usage in sorted(
            self._metrics.pool_usages.items(),
            key=lambda entry: entry[0],
        ):
            family.add_metric(labels, usage.headroom)
        return family

    def _collect_worst_served(self) -> Iterator[Metric]:
        worst = self._metrics.find_worst_served()
        family = GaugeMetricFamily(
            'crocus_worst_served_answered_ratio',
            'Share of requests answered of the worst-served customer.',
            labels=('customer',),
        )
        if worst is not None:
            family.add_metric((worst[0],), worst[1])
        yield family


def render_metrics(
    metrics: RequestMetrics,
    *collectors: Collector,
) -> bytes:
    """Return the metrics in the Prometheus text format.

    :param collectors: collectors of other metrics of the process.

    >>> from crocusshunt.metrics import MetricsSettings
    >>> text = render_metrics(RequestMetrics(MetricsSettings()))
    >>> text.splitlines()[1]
    b'# TYPE crocus_requests_total counter'
    """
    registry = CollectorRegistry()
    registry.register(_RequestCollector(metrics))
    for collector in collectors:
        registry.register(collector)
    return generate_latest(registry)
