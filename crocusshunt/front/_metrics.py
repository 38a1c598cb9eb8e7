"""Metrics of a host in the Prometheus text format."""

from collections.abc import Iterable

from aiohttp import web
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from crocusshunt.front._assembly import HostComponents
from crocusshunt.front._life_metrics import LifeCollector
from crocusshunt.front._news_metrics import NewsCollector
from crocusshunt.metrics import render_metrics

_PATH = '/metrics'
_STATUS_NOT_FOUND = 404


class MetricsEndpoint:
    """Serves a host's request metrics and the gauges of its state."""

    def __init__(self, components: HostComponents) -> None:
        """Read the components of a host at each scrape."""
        self._components = components
        self._collector = HostCollector(components)
        loop = components.heartbeat_loop
        self._life = LifeCollector(
            components.readiness_watch, loop.heard, loop.started_at
        )

        # What is told and read, with its age and size.
        self._news = NewsCollector(
            loop.outbox, components.followers, loop.heard, loop.clock
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a scrape."""
        if request.path != _PATH:
            return web.Response(status=_STATUS_NOT_FOUND)
        text = render_metrics(
            self._components.metrics, self._collector, self._life, self._news
        )
        return web.Response(body=text, content_type='text/plain')


class HostCollector(Collector):
    """Metrics of feeds, backend servers, rate shares and connections."""

    def __init__(self, components: HostComponents) -> None:
        """Read the components of a host at each scrape."""
        self._components = components

    def collect(self) -> Iterable[Metric]:
        """Yield every metric family with its current value."""
        yield from (
            self._measure_feeds(),
            self._count_rejected_rows(),
            self._count_task_failures(),
            self._count_servers(),
            self._measure_shares(),
            self._measure_server_shares(),
            self._count_retries(),
            self._count_library_responses(),
            self._count_ended_connections(),
        )
        yield from self._measure_care()
        yield GaugeMetricFamily(
            'crocus_requests_in_flight',
            'Requests that are not answered yet.',
            self._components.handler.in_flight.count,
        )
        yield CounterMetricFamily(
            'crocus_server_connections_opened',
            'Connections opened to backend servers.',
            self._components.cluster.connections.opened,
        )

    def _measure_feeds(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_feed_age_seconds',
            'Time since the store last answered for a table.',
            labels=('table',),
        )
        for follower in self._components.followers.all:
            family.add_metric((follower.settings.table,), follower.age_s)
        return family

    def _count_task_failures(self) -> Metric:
        family = CounterMetricFamily(
            'crocus_task_failures',
            'Background tasks that an error ended.',
            labels=('task',),
        )
        failures = self._components.heartbeat_loop.tasks.failures
        for task, count in sorted(failures.items()):
            family.add_metric((task,), count)
        return family

    def _count_rejected_rows(self) -> Metric:
        family = CounterMetricFamily(
            'crocus_rows_rejected',
            'Rows that could not be applied.',
            labels=('table',),
        )
        for follower in self._components.followers.all:
            family.add_metric(
                (follower.settings.table,), follower.rejected_rows
            )
        return family

    def _count_servers(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_servers_open',
            'Backend servers that may get requests.',
            labels=('pool',),
        )
        servers = self._components.cluster.servers
        for pool in sorted(servers.pools):
            family.add_metric((pool,), len(servers.select(pool)))
        return family

    def _measure_care(self) -> Iterable[Metric]:
        """Yield what is held back for the sake of servers."""
        yield self._count_backoffs()
        yield self._count_isolated()
        yield GaugeMetricFamily(
            'crocus_pools_not_planned',
            'Pools whose division between regions failed with an error.',
            len(self._components.heartbeat_loop.planner.failed_pools),
        )
        servers = self._components.cluster.servers
        yield GaugeMetricFamily(
            'crocus_servers_draining',
            'Backend servers that said in a response that they are draining.',
            servers.draining.count(),
        )
        yield GaugeMetricFamily(
            'crocus_requests_quarantined',
            'Requests that are not sent, since servers crash under them.',
            self._components.heartbeat_loop.crashes.count_quarantined(),
        )

    def _count_backoffs(self) -> Metric:
        loop = self._components.heartbeat_loop
        backoffs = loop.planner.state.backoffs
        return GaugeMetricFamily(
            'crocus_servers_backing_off',
            'Backend servers that asked this host to send nothing now.',
            backoffs.count(loop.clock.monotonic()),
        )

    def _count_isolated(self) -> Metric:
        loop = self._components.heartbeat_loop
        isolation = loop.planner.state.isolation
        return GaugeMetricFamily(
            'crocus_callers_isolated',
            'Customers by route whose requests crash many servers.',
            len(isolation.list_isolated(loop.clock.monotonic())),
        )

    def _count_retries(self) -> Metric:
        limits = self._components.heartbeat_loop.tokens.limits
        watch = limits.retries
        family = CounterMetricFamily(
            'crocus_retries',
            'Retries that the retry limit allowed or refused.',
            labels=('pool', 'decision'),
        )
        for pool, allowed in sorted(watch.allowed.items()):
            family.add_metric((pool, 'allowed'), allowed)
        for refused_pool, refused in sorted(watch.refused.items()):
            family.add_metric((refused_pool, 'refused'), refused)
        return family

    def _count_library_responses(self) -> Metric:
        family = CounterMetricFamily(
            'crocus_library_responses',
            'Responses to requests that could not be parsed or handled.',
            labels=('port', 'status', 'cause'),
        )
        for (
            response,
            count,
        ) in self._components.library_responses.counts.items():
            labels = (response.port.value, str(response.status), response.cause)
            family.add_metric(labels, count)
        return family

    def _count_ended_connections(self) -> Metric:
        family = CounterMetricFamily(
            'crocus_connections_ended',
            'Connections that the host ended by itself.',
            labels=('port', 'cause'),
        )
        for (port, cause), count in self._components.ingress.ended.items():
            family.add_metric((port.value, cause.value), count)
        return family

    def _measure_shares(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_customer_rate_share',
            'Requests a second of a customer that this host admits.',
            labels=('customer',),
        )
        limits = self._components.heartbeat_loop.tokens.limits
        for customer, rate in sorted(limits.customers.rates.items()):
            family.add_metric((customer,), rate)
        return family

    def _measure_server_shares(self) -> Metric:
        family = GaugeMetricFamily(
            'crocus_server_rate_share',
            'Requests a second that this host sends to a server with a limit.',
            labels=('server',),
        )
        planner = self._components.heartbeat_loop.planner
        shares = planner.state.limited.shares
        for server, rate in sorted(shares.items()):
            family.add_metric((server,), rate)
        return family
