"""Metrics of what this host tells and reads: messages, peers, tables."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from crocusshunt.core import Clock
from crocusshunt.front._followers import Followers
from crocusshunt.front._heard_hosts import HeardHosts
from crocusshunt.front._outbox import Outbox


@dataclass(frozen=True, slots=True, eq=False)
class NewsCollector(Collector):
    """Metrics of the messages between hosts and of the followed tables."""

    outbox: Outbox
    followers: Followers
    heard: HeardHosts
    clock: Clock

    def collect(self) -> Iterable[Metric]:
        """Yield every metric family with its current value."""
        sent = self.outbox.sent
        yield _count_by_kind(
            'crocus_datagrams_sent', 'Datagrams sent.', sent.datagrams
        )
        yield _count_by_kind(
            'crocus_datagrams_oversized',
            'Datagrams sent that one Ethernet frame does not carry.',
            sent.oversized,
        )
        largest = GaugeMetricFamily(
            'crocus_datagram_largest_bytes',
            'Size of the largest message.',
            labels=('kind',),
        )
        for kind, size in sorted(sent.largest_bytes.items()):
            largest.add_metric((kind,), size)
        yield largest
        yield from self._count_losses()
        yield from self._measure_tables()
        yield self._measure_peers()

    def _count_losses(self) -> Iterator[Metric]:
        endpoint = self.outbox.endpoint
        yield CounterMetricFamily(
            'crocus_datagrams_refused',
            'Datagrams that the system did not send or a host did not take.',
            0 if endpoint is None else endpoint.refused,
        )
        yield CounterMetricFamily(
            'crocus_datagrams_ignored',
            'Datagrams received that are no message.',
            self.heard.ignored,
        )

    def _measure_tables(self) -> Iterator[Metric]:
        lag = GaugeMetricFamily(
            'crocus_table_lag_seconds',
            'How long another host has known a newer version of a table.',
            labels=('table',),
        )
        size = GaugeMetricFamily(
            'crocus_feed_answer_bytes',
            'Size of the last whole answer of the store for a table.',
            labels=('table',),
        )
        wasted = CounterMetricFamily(
            'crocus_feed_wasted_bytes',
            'Bytes of answers of the store that were not read to their end.',
            labels=('table',),
        )
        for position, follower in enumerate(self.followers.all):
            labels = (follower.settings.table,)
            lag.add_metric(labels, self.followers.measure_lag(position))
            size.add_metric(labels, follower.call.answer_bytes)
            wasted.add_metric(labels, follower.call.wasted_bytes)
        yield from (lag, size, wasted)

    def _measure_peers(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_peer_age_seconds',
            'Time since the last heartbeat of another host of the region.',
            labels=('host',),
        )
        now = self.clock.monotonic()
        for name, peer in sorted(self.heard.fleet.peers.items()):
            if peer.heartbeat is not None:
                family.add_metric((name,), now - peer.received_at)
        return family


def _count_by_kind(
    name: str, text: str, counts: Mapping[str, int]
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, text, labels=('kind',))
    for kind, count in sorted(counts.items()):
        family.add_metric((kind,), count)
    return family
