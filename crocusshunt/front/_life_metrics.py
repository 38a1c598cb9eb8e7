"""Metrics of readiness, and of the ends that other hosts' processes had."""

from collections.abc import Iterable
from dataclasses import dataclass

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from crocusshunt.front._heard_hosts import HeardHosts
from crocusshunt.front._readiness_watch import LastingObstacle, ReadinessWatch

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True, eq=False)
class LifeCollector(Collector):
    """Metrics of this host's start and readiness, and of other hosts' starts.

    :param started_at: Unix time of this process's start, in milliseconds.
    """

    watch: ReadinessWatch
    heard: HeardHosts
    started_at: int

    def collect(self) -> Iterable[Metric]:
        """Yield every metric family with its current value."""
        lasting = self.watch.list_obstacles()
        yield GaugeMetricFamily(
            'crocus_start_time_seconds',
            'Unix time at which this process started.',
            self.started_at / _MILLISECONDS,
        )
        yield GaugeMetricFamily(
            'crocus_ready',
            'Whether callers may be sent to this host.',
            int(not lasting),
        )
        yield _measure_obstacles(lasting)
        yield self._count_restarts()

    def _count_restarts(self) -> Metric:
        family = CounterMetricFamily(
            'crocus_host_restarts',
            'Starts of other hosts after a process that was ready or not.',
            labels=('host', 'was_ready'),
        )
        for (host, was_ready), count in sorted(self.heard.restarts.items()):
            family.add_metric((host, str(was_ready).lower()), count)
        return family


def _measure_obstacles(lasting: Iterable[LastingObstacle]) -> Metric:
    family = GaugeMetricFamily(
        'crocus_not_ready_seconds',
        'How long a condition has kept this host from being ready.',
        labels=('condition', 'subject'),
    )
    for one in lasting:
        family.add_metric(one.obstacle.key, one.age_s)
    return family
