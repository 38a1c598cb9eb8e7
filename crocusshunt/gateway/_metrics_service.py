"""Metrics of the gateway in the Prometheus text format."""

from aiohttp import web

from crocusshunt.metrics import RequestMetrics, render_metrics
from crocusshunt.web import HttpService

_LOOPBACK = '127.0.0.1'


class MetricsService(HttpService):
    """Serves the metrics on the loopback address of this host."""

    def __init__(self, port: int, metrics: RequestMetrics) -> None:
        """Prepare to listen on the loopback address."""
        super().__init__(_LOOPBACK, port)
        self._metrics = metrics

    def create_application(self) -> web.Application:
        """Return an application with the path ``/metrics``."""
        application = web.Application()
        application.router.add_get('/metrics', self._show)
        return application

    async def _show(self, request: web.Request) -> web.Response:
        text = render_metrics(self._metrics)
        return web.Response(body=text, content_type='text/plain')
