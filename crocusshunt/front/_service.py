"""Service of a host: requests, lookups, readiness, metrics, peers."""

import asyncio
from typing import Any

from aiomisc import Service

from crocusshunt.core import Clock
from crocusshunt.feeds import FeedStore
from crocusshunt.front._assembly import assemble_host
from crocusshunt.front._draining import drain_runners
from crocusshunt.front._host_servers import HostServers
from crocusshunt.front._registration import Registration
from crocusshunt.front._reload import ReadSettings, SettingsReload
from crocusshunt.front._settings import FrontSettings, SourceFormat
from crocusshunt.logs import log_event

# A stopping host accepts requests for so long, since callers cache lookups.
# Callers that come later get no connection and go on to another host.
_ACCEPT_AT_STOP_S = 2.5
# Requests at a stopping host are answered this long before the process is
# killed, as a fraction of the time until then. What waits behind them on their
# connections is sent after that.
_ANSWER_MARGIN_FRACTION = 0.15
# Draining ends this long before the process is killed, as such a fraction.
_KILL_MARGIN_FRACTION = 0.07


class FrontService(Service):
    """Runs one host: all of its servers and background tasks."""

    def __init__(
        self,
        settings: FrontSettings,
        source: SourceFormat,
        store: FeedStore,
        read_settings: ReadSettings,
        clock: Clock,
    ) -> None:
        """Create the components; nothing is opened yet.

        :param read_settings: reads the settings again; they may change while
            the host runs.
        """
        super().__init__()
        self.settings = settings
        self._store = store
        self._clock = clock
        self._components = assemble_host(settings, source, store, clock)
        self._servers = HostServers(settings, self._components, clock)
        self._reload = SettingsReload(settings, read_settings, self._apply)

    def reload(self) -> None:
        """Read the settings again at once."""
        self._reload.request()

    async def start(self) -> None:
        """Open the ports, start the background tasks, register this host."""
        await self._servers.open()
        self._start_tasks()
        settings = self.settings
        log_event('host started', host=settings.name, region=settings.region)

    async def stop(self, exception: Exception | None = None) -> Any:
        """Leave the lookups, finish requests in flight, and close."""
        components = self._components
        log_event('host stopping', in_flight=components.handler.in_flight.count)
        now = self._clock.monotonic()
        grace_s = self.settings.limits.grace_s
        components.handler.in_flight.stop(
            now + grace_s * (1 - _ANSWER_MARGIN_FRACTION), now
        )
        components.heartbeat_loop.send_heartbeats()
        await asyncio.sleep(_ACCEPT_AT_STOP_S)
        await drain_runners(
            self._servers.request_runners,
            components.handler.in_flight,
            now + grace_s * (1 - _KILL_MARGIN_FRACTION),
            self._clock,
        )
        log_event('host stopped', in_flight=components.handler.in_flight.count)
        await components.heartbeat_loop.tasks.stop()
        await components.followers.close()

    def _start_tasks(self) -> None:
        components = self._components
        tasks = components.heartbeat_loop.tasks
        components.followers.start(tasks)
        registration = Registration(
            components.cluster.fleet.own,
            self._store,
            components.followers.hosts,
            self._clock,
        )
        tasks.keep('register', registration.run)
        tasks.keep('crash records', components.records.run)
        tasks.keep('reload settings', self._reload.run)
        tasks.keep('heartbeats', components.heartbeat_loop.run)
        tasks.keep('watch readiness', components.readiness_watch.run)
        tasks.keep('open metrics', self._servers.open_metrics)

    def _apply(self, settings: FrontSettings) -> None:
        self.settings = settings
        self._components.cluster.servers.assign_regions(dict(settings.regions))
        self._store.redirect(settings.store_address)
