"""The cluster as one host sees it: configuration, servers, hosts."""

import logging
from dataclasses import dataclass

from result import Err

from crocusshunt.catalog import Catalog, CatalogIndex
from crocusshunt.core import Clock
from crocusshunt.feeds import Row
from crocusshunt.fleet import FleetView, decode_host
from crocusshunt.front._settings import SourceFormat
from crocusshunt.logs import log_event
from crocusshunt.placement import (
    DrainingReport,
    HealthTracker,
    ServerEntry,
    ServerRegistry,
    TrackedServer,
)
from crocusshunt.upstream import ConnectionPool


@dataclass(slots=True)
class ClusterComponents:
    """State that table changes are applied to."""

    servers: ServerRegistry
    health: HealthTracker
    fleet: FleetView
    connections: ConnectionPool


class ClusterState:
    """Applies changes of the store tables and holds the resulting state.

    Its ``index`` is the current configuration, None before the first one, and
    ``configuration_problem`` why the newest one was not taken, empty if it was.
    """

    def __init__(
        self,
        components: ClusterComponents,
        source: SourceFormat,
        clock: Clock,
    ) -> None:
        """Start without a configuration.

        :param source: how rows of the tables are decoded.
        """
        self.servers = components.servers
        self.health = components.health
        self.fleet = components.fleet
        self.connections = components.connections
        self.index: CatalogIndex | None = None
        self.configuration_problem = ''
        self._source = source
        self._clock = clock

    def apply_configuration(self, row: Row) -> None:
        """Apply a changed row of the configuration table."""
        prefix = self._source.evacuation_prefix
        if row.key == self._source.configuration_key:
            self._apply_catalog_row(row)
        elif row.key.startswith(prefix):
            self._apply_evacuation(row, row.key.removeprefix(prefix))

    def apply_server(self, row: Row) -> None:
        """Apply a changed row of the table of backend servers."""
        if row.is_removed:
            self.drop_server(row.key, 'entry removed')
            return
        decoded = self._source.decode_server(row.key, row.content)
        if isinstance(decoded, Err):
            log_event(
                'server entry ignored',
                logging.WARNING,
                cause=str(decoded.err_value),
            )
            self.drop_server(row.key, 'entry unreadable')
        else:
            self._put_server(decoded.ok_value, row.version)

    def apply_host(self, row: Row) -> None:
        """Apply a changed row of the table of hosts."""
        record = None if row.is_removed else decode_host(row.key, row.content)
        if record is None:
            self.fleet.remove(row.key)
        else:
            self.fleet.put(record)
        log_event(
            'host record changed',
            host=row.key,
            version=row.version,
            is_known=record is not None,
        )

    def handle_ejection(self, server: TrackedServer, cause: str) -> None:
        """Log that a server gets no requests for now; close its connections.

        :param cause: what made the health check eject it.
        """
        entry = server.entry
        health = self.health.find(entry.name)
        self.connections.forget(entry.name, entry.address)
        log_event(
            'server passed over',
            logging.WARNING,
            server=entry.name,
            pool=entry.pool,
            cause=cause,
            unreachable=health.unreachable,
            pause_s=round(health.ejected_until - self._clock.monotonic(), 3),
        )

    def drop_server(self, name: str, cause: str) -> None:
        """Remove a server until its entry changes.

        :param cause: text for the log.
        """
        entry = self.servers.remove(name)
        self.health.forget(name)
        if entry is not None:
            self.connections.forget(name, entry.address)
            log_event('server dropped', server=name, cause=cause)

    def mark_draining(self, entry: ServerEntry) -> None:
        """Send nothing more to a server that says that it is draining."""
        now = self._clock.monotonic()
        if self.servers.mark_draining(entry.name, entry.started_ms, now):
            log_event('server draining', server=entry.name, told_by='response')

    def merge_draining(
        self, reported: DrainingReport, host: str, now: float
    ) -> None:
        """Send nothing more to draining servers of which a host heard."""
        for name, (started_ms, age_s) in reported.items():
            if self.servers.mark_draining(name, started_ms, now - age_s):
                log_event('server draining', server=name, told_by=host)

    def find_cold_s(self, pool: str) -> float:
        """Return how long servers of a pool are cold after a start, in seconds.

        The caches of a cold server are still empty, so it answers slowly.
        """
        if self.index is None:
            return 0
        return self.index.find_pool(pool).cold_s

    def _apply_catalog_row(self, row: Row) -> None:
        if row.is_removed:
            log_event(
                'configuration row removed, keeping the last configuration'
            )
            return
        decoded = self._source.decode_catalog(row.content)
        if isinstance(decoded, Err):
            self.configuration_problem = str(decoded.err_value)
            log_event(
                'configuration ignored',
                logging.ERROR,
                cause=str(decoded.err_value),
                version=row.version,
            )
            return
        self._install_catalog(decoded.ok_value, row.version)

    def _install_catalog(self, catalog: Catalog, version: int) -> None:
        current = self.index
        if current is not None and catalog.version < current.catalog.version:
            log_event(
                'older configuration ignored',
                logging.WARNING,
                configuration=catalog.version,
                in_force=current.catalog.version,
            )
            return
        self.index = CatalogIndex(catalog)
        self.configuration_problem = ''
        log_event(
            'configuration in force',
            configuration=catalog.version,
            version=version,
            routes=len(catalog.routes),
            customers=len(catalog.customers),
        )

    def _apply_evacuation(self, row: Row, domain: str) -> None:
        servers = self.servers
        log_event(
            'failure domain emptied or restored',
            failure_domain=domain,
            is_emptied=not row.is_removed,
            version=row.version,
        )
        if not row.is_removed:
            servers.empty_domain(domain)
            return
        now = self._clock.monotonic()
        for tracked in servers.restore_domain(domain):
            # The servers may have lost their cached data meanwhile, and their
            # entries show that only after their next heartbeat.
            cold_s = self.find_cold_s(tracked.entry.pool)
            servers.mark_cold(tracked.entry.name, now + cold_s)

    def _put_server(self, entry: ServerEntry, version: int) -> None:
        known = self.servers.find(entry.name)
        self.servers.put(entry, self._clock.monotonic())
        if known is None or known.entry.started_ms != entry.started_ms:
            self.health.forget(entry.name)
        if known is not None and known.entry.address != entry.address:
            self.connections.forget(entry.name, known.entry.address)
        log_event(
            'server entry changed',
            server=entry.name,
            pool=entry.pool,
            failure_domain=entry.failure_domain,
            is_draining=entry.is_draining,
            cold_left_s=entry.cold_left_s,
            version=version,
        )
