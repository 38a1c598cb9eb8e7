"""Metrics of a host in the Prometheus text format."""

from collections.abc import Iterable

from aiohttp import web
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from crocusshunt.front._assembly import HostParts
from crocusshunt.metrics import render_metrics

_PATH = '/metrics'
_STATUS_NOT_FOUND = 404


class MetricsExposure:
    """Serves what a host counts and believes."""

    def __init__(self, parts: HostParts) -> None:
        """Read the parts of a host at each scrape."""
        self._parts = parts
        self._collector = HostCollector(parts)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a scrape."""
        if request.path != _PATH:
            return web.Response(status=_STATUS_NOT_FOUND)
        text = render_metrics(self._parts.metrics, self._collector)
        return web.Response(body=text, content_type='text/plain')


class HostCollector(Collector):
    """Feeds, backend servers, shares and connections of a host."""

    def __init__(self, parts: HostParts) -> None:
        """Read the parts of a host at each scrape."""
        self._parts = parts

    def collect(self) -> Iterable[Metric]:
        """Yield every family at the moment of the scrape."""
        yield self._measure_feeds()
        yield self._count_servers()
        yield self._measure_shares()
        yield GaugeMetricFamily(
            'crocus_requests_in_flight',
            'Requests that are not answered yet.',
            self._parts.handler.in_flight.count,
        )
        yield CounterMetricFamily(
            'crocus_server_connections_opened',
            'Connections opened to backend servers.',
            self._parts.knowledge.connections.opened,
        )

    def _measure_feeds(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_feed_age_seconds',
            'Time since the store last answered for a table.',
            labels=('table',),
        )
        for follower in self._parts.followers.all:
            family.add_metric((follower.settings.table,), follower.age_s)
        return family

    def _count_servers(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_servers_open',
            'Backend servers that may get requests.',
            labels=('pool',),
        )
        servers = self._parts.knowledge.servers
        for pool in sorted(servers.pools):
            family.add_metric((pool,), len(servers.select(pool)))
        return family

    def _measure_shares(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_customer_rate_share',
            'Requests a second of a customer that this host admits.',
            labels=('customer',),
        )
        limits = self._parts.rounds.tokens.limits
        for customer, rate in sorted(limits.customers.rates.items()):
            family.add_metric((customer,), rate)
        return family
