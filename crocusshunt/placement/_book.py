"""The backend servers that may get work."""

from dataclasses import dataclass, replace

from crocusshunt.placement._values import ServerEntry


@dataclass(frozen=True, slots=True)
class TrackedServer:
    """A backend server as this process knows it.

    :param cold_until: end of its cold phase, monotonic seconds.
    """

    entry: ServerEntry
    region: str
    cold_until: float

    def is_cold(self, now: float) -> bool:
        """Tell whether it bears only few requests a second."""
        return now < self.cold_until


class ServerRegistry:
    """Entries of all backend servers, by name and by pool.

    >>> book = ServerRegistry({'a1': 'a'})
    >>> book.put(ServerEntry('s1', 'verify', '10.0.0.1:80', 'a1', 4), now=0)
    >>> [one.entry.name for one in book.select('verify')]
    ['s1']
    >>> book.empty_domain('a1')
    >>> book.select('verify')
    ()
    """

    def __init__(self, regions: dict[str, str]) -> None:
        """Start without servers.

        :param regions: region of each failure domain.
        """
        self._regions = regions
        self._tracked: dict[str, TrackedServer] = {}
        self._emptied: set[str] = set()
        self._selected: dict[str, tuple[TrackedServer, ...]] = {}

    @property
    def pools(self) -> frozenset[str]:
        """Return the names of all pools that have servers."""
        return frozenset(one.entry.pool for one in self._tracked.values())

    def assign_regions(self, regions: dict[str, str]) -> None:
        """Take another division of failure domains into regions."""
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
        """Take a server's entry; one that says it is cold counts from now."""
        known = self._tracked.get(entry.name)
        cold_until = now + entry.cold_left_s if entry.cold_left_s > 0 else 0
        if known is not None and known.entry.started_ms == entry.started_ms:
            cold_until = max(cold_until, known.cold_until)
        region = self._regions.get(entry.failure_domain, '')
        self._tracked[entry.name] = TrackedServer(entry, region, cold_until)
        self._selected = {}

    def remove(self, name: str) -> ServerEntry | None:
        """Forget a server that is gone; return its entry if it was known."""
        self._selected = {}
        known = self._tracked.pop(name, None)
        return None if known is None else known.entry

    def mark_cold(self, name: str, until: float) -> None:
        """Treat a server as cold until a moment."""
        known = self._tracked.get(name)
        if known is not None and known.cold_until < until:
            self._tracked[name] = replace(known, cold_until=until)
            self._selected = {}

    def empty_domain(self, domain: str) -> None:
        """Send nothing more to the servers of a failure domain."""
        self._emptied.add(domain)
        self._selected = {}

    def restore_domain(self, domain: str) -> tuple[TrackedServer, ...]:
        """Use a failure domain's servers again; return them."""
        self._emptied.discard(domain)
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
        """Return the servers of a pool that may get work, sorted by name."""
        if pool not in self._selected:
            self._selected[pool] = tuple(
                self._tracked[name]
                for name in sorted(self._tracked)
                if self._is_open(self._tracked[name].entry, pool)
            )
        return self._selected[pool]

    def _is_open(self, entry: ServerEntry, pool: str) -> bool:
        if entry.pool != pool or entry.is_draining:
            return False
        return entry.failure_domain not in self._emptied
