"""Index of the servers and hosts that are being drained."""

from collections.abc import Collection, Iterable, Mapping

from crocusshunt.drains._rows import Drain, DrainKind
from crocusshunt.routing import Server, ServerState
from crocusshunt.store import HostEntry


class DrainIndex:
    """Finds whether any drain of a configuration covers a server or host.

    >>> index = DrainIndex((Drain('d', DrainKind.region, 'dire'),))
    >>> host = HostEntry('h1', 'dire', 'dire-a', 'http://h1', '')
    >>> index.is_host_draining(host)
    True
    """

    def __init__(self, drains: Iterable[Drain]) -> None:
        """Index the drains of a configuration."""
        targets: dict[DrainKind, set[str]] = {kind: set() for kind in DrainKind}
        for drain in drains:
            targets[drain.kind].add(drain.target)
        self._targets: Mapping[DrainKind, Collection[str]] = targets

    def is_server_draining(self, server: Server) -> bool:
        """Return whether a backend server receives no new requests."""
        if server.state is ServerState.draining:
            return True
        return any(
            name in self._targets[kind]
            for kind, name in (
                (DrainKind.server, server.name),
                (DrainKind.pool, server.pool),
                (DrainKind.failure_domain, server.failure_domain),
                (DrainKind.region, server.region),
            )
        )

    def is_host_draining(self, host: HostEntry) -> bool:
        """Return whether look-ups omit an entry host."""
        return any(
            name in self._targets[kind]
            for kind, name in (
                (DrainKind.host, host.name),
                (DrainKind.failure_domain, host.failure_domain),
                (DrainKind.region, host.region),
            )
        )
