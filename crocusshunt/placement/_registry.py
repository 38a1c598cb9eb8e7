"""Registry of the backend servers that may get requests."""

from dataclasses import dataclass, replace

from crocusshunt.placement._draining import DrainingServers
from crocusshunt.placement._entries import ServerEntry


@dataclass(frozen=True, slots=True)
class TrackedServer:
    """A backend server as this process knows it.

    A server that has just started is cold: it holds no objects yet and can
    handle only few requests a second.

    :param region: region of its failure domain, empty if unknown.
    :param cold_until: end of its cold phase, monotonic seconds.
    """

    entry: ServerEntry
    region: str
    cold_until: float

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is still in its cold phase."""
        return now < self.cold_until


class ServerRegistry:
    """Entries of all backend servers, by name and by pool.

    >>> registry = ServerRegistry({'a1': 'a'})
    >>> registry.put(ServerEntry('s1', 'verify', '10.0.0.1:80', 'a1', 4), now=0)
    >>> [one.entry.name for one in registry.select('verify')]
    ['s1']
    >>> registry.empty_domain('a1')
    >>> registry.select('verify')
    ()
    """

    def __init__(self, regions: dict[str, str]) -> None:
        """Start without servers.

        :param regions: region of each failure domain.
        """
        self._regions = regions
        self._tracked: dict[str, TrackedServer] = {}
        self._emptied_domains: set[str] = set()
        self._selected: dict[str, tuple[TrackedServer, ...]] = {}
        self._draining = DrainingServers()

    @property
    def pools(self) -> frozenset[str]:
        """Return the names of all pools that have servers."""
        return frozenset(one.entry.pool for one in self._tracked.values())

    def assign_regions(self, regions: dict[str, str]) -> None:
        """Replace the mapping of failure domains to regions.

        :param regions: region of each failure domain.
        """
        self._regions = regions
        self._selected = {}
        self._tracked = {
            name: replace(
                one,
                region=regions.get(one.entry.failure_domain, ''),
            )
            for name, one in self._tracked.items()
        }

    def put(self, entry: ServerEntry, now: float) -> None:
        """Add or replace a server's entry.

        The cold phase that the entry reports is counted from now. A longer
        one that is already known remains unless the server was restarted. A
        start of a server that drains does so to its end, even if an older entry
        comes back.

        :param now: monotonic seconds.
        """
        if entry.is_draining and entry.started_ms:
            self._draining.note(entry.name, entry.started_ms, now)
        known = self._tracked.get(entry.name)
        cold_until = now + entry.cold_left_s if entry.cold_left_s > 0 else 0
        if known is not None and known.entry.started_ms == entry.started_ms:
            cold_until = max(cold_until, known.cold_until)
        region = self._regions.get(entry.failure_domain, '')
        self._tracked[entry.name] = TrackedServer(entry, region, cold_until)
        self._selected = {}

    def remove(self, name: str) -> ServerEntry | None:
        """Remove a server; return its entry, None if it was unknown."""
        self._selected = {}
        known = self._tracked.pop(name, None)
        return None if known is None else known.entry

    def mark_cold(self, name: str, until: float) -> None:
        """Treat a server as cold at least until a point in time.

        :param until: monotonic seconds.
        """
        known = self._tracked.get(name)
        if known is not None and known.cold_until < until:
            self._tracked[name] = replace(known, cold_until=until)
            self._selected = {}

    @property
    def draining(self) -> DrainingServers:
        """Return the servers that said in a response that they drain."""
        return self._draining

    def mark_draining(self, name: str, started_ms: int, at: float) -> bool:
        """Send no new requests to a start of a server, whatever its entry says.

        :param at: when the server said so, monotonic seconds.
        :return: whether this is news.
        """
        is_news = self._draining.note(name, started_ms, at)
        if is_news:
            self._selected = {}
        return is_news

    def empty_domain(self, domain: str) -> None:
        """Exclude the servers of a failure domain from selection."""
        self._emptied_domains.add(domain)
        self._selected = {}

    def restore_domain(self, domain: str) -> tuple[TrackedServer, ...]:
        """Include a failure domain's servers again; return them."""
        self._emptied_domains.discard(domain)
        self._selected = {}
        return tuple(
            one
            for one in self._tracked.values()
            if one.entry.failure_domain == domain
        )

    def find(self, name: str) -> TrackedServer | None:
        """Return a server by name, None for an unknown one."""
        return self._tracked.get(name)

    def select(self, pool: str) -> tuple[TrackedServer, ...]:
        """Return the servers of a pool that may get requests, by name."""
        if pool not in self._selected:
            self._selected[pool] = tuple(
                self._tracked[name]
                for name in sorted(self._tracked)
                if self._accepts_requests(self._tracked[name].entry, pool)
            )
        return self._selected[pool]

    def is_open(self, server: TrackedServer) -> bool:
        """Tell whether a server that was selected may still get a request."""
        known = self._tracked.get(server.entry.name)
        if known is None or known.entry.started_ms != server.entry.started_ms:
            return False
        return self._accepts_requests(known.entry, server.entry.pool)

    def _accepts_requests(self, entry: ServerEntry, pool: str) -> bool:
        if entry.pool != pool or entry.is_draining:
            return False
        if self._draining.has(entry):
            return False
        return entry.failure_domain not in self._emptied_domains
