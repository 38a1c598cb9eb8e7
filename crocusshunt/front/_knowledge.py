"""What a host believes: configuration, backend servers, hosts."""

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
    HealthTracker,
    ServerEntry,
    ServerRegistry,
    TrackedServer,
)
from crocusshunt.upstream import ConnectionPool


@dataclass(slots=True)
class Books:
    """Books that news are written into."""

    servers: ServerRegistry
    health: HealthTracker
    fleet: FleetView
    connections: ConnectionPool


class Knowledge:
    """Takes news of the followed tables; answers what is in force."""

    def __init__(
        self,
        books: Books,
        source: SourceFormat,
        clock: Clock,
    ) -> None:
        """Start without a configuration."""
        self.servers = books.servers
        self.health = books.health
        self.fleet = books.fleet
        self.connections = books.connections
        self.index: CatalogIndex | None = None
        self._source = source
        self._clock = clock

    def take_configuration(self, news: tuple[Row, ...]) -> None:
        """Take rows of the configuration's table."""
        prefix = self._source.evacuation_prefix
        for row in news:
            if row.key == self._source.configuration_key:
                self._take_catalog(row)
            elif row.key.startswith(prefix):
                self._take_emptied(row, row.key.removeprefix(prefix))

    def take_servers(self, news: tuple[Row, ...]) -> None:
        """Take rows of the servers' table."""
        for row in news:
            if row.is_removed:
                self.drop_server(row.key, 'entry removed')
                continue
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

    def take_hosts(self, news: tuple[Row, ...]) -> None:
        """Take rows of the hosts' table."""
        for row in news:
            record = None if row.is_removed else decode_host(row.content)
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

    def note_ejection(self, server: TrackedServer, cause: str) -> None:
        """Log that a server is passed over, and close its connections."""
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
        """Forget a server until its entry changes."""
        entry = self.servers.remove(name)
        self.health.forget(name)
        if entry is not None:
            self.connections.forget(name, entry.address)
            log_event('server dropped', server=name, cause=cause)

    def find_cold_s(self, pool: str) -> float:
        """Return how long servers of a pool are cold, in seconds."""
        if self.index is None:
            return 0
        return self.index.find_pool(pool).cold_s

    def _take_catalog(self, row: Row) -> None:
        if row.is_removed:
            log_event('configuration removed, keeping the last one')
            return
        decoded = self._source.decode_catalog(row.content)
        if isinstance(decoded, Err):
            log_event(
                'configuration ignored',
                logging.ERROR,
                cause=str(decoded.err_value),
                version=row.version,
            )
            return
        self._put_catalog(decoded.ok_value, row.version)

    def _put_catalog(self, catalog: Catalog, version: int) -> None:
        known = self.index
        if known is not None and catalog.version < known.catalog.version:
            log_event(
                'older configuration ignored',
                logging.WARNING,
                configuration=catalog.version,
                in_force=known.catalog.version,
            )
            return
        self.index = CatalogIndex(catalog)
        log_event(
            'configuration in force',
            configuration=catalog.version,
            version=version,
            routes=len(catalog.routes),
            customers=len(catalog.customers),
        )

    def _take_emptied(self, row: Row, domain: str) -> None:
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
            # The servers may have lost what they held meanwhile, and say so
            # only with their next heartbeat.
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
