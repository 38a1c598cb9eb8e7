"""Local copies of the store tables, also fetched from and sent to peers."""

import msgspec
from aiohttp import web

from crocusshunt.core import Clock, parse_count
from crocusshunt.feeds import (
    Changes,
    FeedStore,
    Follower,
    FollowerSettings,
)
from crocusshunt.fleet import HostRecord
from crocusshunt.front._cluster import ClusterState
from crocusshunt.front._peer_images import PeerImages
from crocusshunt.front._settings import TableNames
from crocusshunt.logs import log_event
from crocusshunt.services import TaskGroup

# Longest wait of one feed call, in seconds. Heartbeats of the host that
# watches the store for the region show changes that a lost call withholds.
_POLL_WAIT_S = 10
# The same at the host that watches the store: it notices a lost call, and the
# end of an outage, so soon that a later change is followed in time.
_WATCH_WAIT_S = 0.8
# A feed that works delivers a change to all hosts within about this time; a
# call that did not is taken for lost.
_MAX_CALL_LAG_S = 0.4
# Pause after a change, so that the next call returns several at once.
_CONFIGURATION_SPACING_S = 0.5
_SERVERS_SPACING_S = 1.3
_HOSTS_SPACING_S = 2
# Entries that expired while the store was unavailable are rewritten within
# about this time, so their removal is put off for it.
_SERVERS_SETTLE_S = 2
# A working feed delivers changes at once; a host that lags behind a peer for
# longer fetches the table from it.
_MAX_LAG_S = 1.5
# A host whose own feed fails waits less, since the store answers its peers.
_MAX_LAG_WITHOUT_STORE_S = 0.4
_STATUS_NOT_FOUND = 404


class Followers:
    """Keeps copies of all tables from the store, or from peers if it fails."""

    def __init__(
        self,
        store: FeedStore,
        tables: TableNames,
        cluster: ClusterState,
        clock: Clock,
    ) -> None:
        """Create the followers of the tables; nothing is read yet."""
        self._clock = clock
        self._behind_since: dict[int, float] = {}
        self._known_versions: dict[int, int] = {}
        self._lagging_since: dict[int, float] = {}
        self._images = PeerImages()
        self.configuration = Follower(
            store,
            FollowerSettings(
                tables.configuration,
                wait_s=_POLL_WAIT_S,
                spacing_s=_CONFIGURATION_SPACING_S,
            ),
            clock,
            cluster.apply_configuration,
        )
        self.servers = Follower(
            store,
            FollowerSettings(
                tables.servers,
                wait_s=_POLL_WAIT_S,
                spacing_s=_SERVERS_SPACING_S,
                settle_s=_SERVERS_SETTLE_S,
            ),
            clock,
            cluster.apply_server,
        )
        self.hosts = Follower(
            store,
            FollowerSettings(
                tables.hosts,
                wait_s=_POLL_WAIT_S,
                spacing_s=_HOSTS_SPACING_S,
            ),
            clock,
            cluster.apply_host,
        )

    @property
    def all(self) -> tuple[Follower, ...]:
        """Return the followers, in the order used by ``versions``.

        Positions in it identify tables between hosts.
        """
        return (self.configuration, self.servers, self.hosts)

    @property
    def versions(self) -> tuple[int, ...]:
        """Return the version of the newest known change of each table."""
        return tuple(one.image.changed_at for one in self.all)

    def measure_lag(self, position: int) -> float:
        """Return how long peers have known a newer version of a table.

        In seconds; zero if none is known to be newer.

        :param position: of the table in ``all``.
        """
        known = self._known_versions.get(position, -1)
        if known <= self.all[position].image.version:
            return 0
        return self._clock.monotonic() - self._lagging_since.get(
            position, self._clock.monotonic()
        )

    def is_failing(self) -> bool:
        """Tell whether the last call for configuration or servers failed."""
        return self.configuration.is_failing or self.servers.is_failing

    def knows_hosts(self) -> bool:
        """Tell whether the table of hosts comes from the store.

        A peer's copy may lack the newest hosts.
        """
        return self.hosts.availability.is_answering

    def start(self, tasks: TaskGroup) -> None:
        """Follow all tables in the background."""
        for follower in self.all:
            tasks.keep(f'follow {follower.settings.table}', follower.run)

    async def close(self) -> None:
        """Close the connections to peers."""
        await self._images.close()

    def watch(self, *, is_watcher: bool) -> None:
        """Notice lost calls early, for the whole region if required.

        :param is_watcher: whether this host watches the store for its region.
        """
        wait_s = _WATCH_WAIT_S if is_watcher else _POLL_WAIT_S
        for watched in (self.configuration, self.servers):
            watched.limit_wait(wait_s)
        for position, follower in enumerate(self.all):
            if self._has_lost_call(position, follower):
                log_event(
                    'feed call lost',
                    table=follower.settings.table,
                    call_age_s=round(follower.call.age_s, 3),
                    received_bytes=follower.call.progress.received_bytes,
                )
                follower.refresh()

    async def fetch_if_behind(
        self, peer: HostRecord, versions: tuple[int, ...]
    ) -> None:
        """Fetch tables from a peer that has been ahead for too long.

        :param versions: of the peer's tables, in the order of ``all``.
        """
        now = self._clock.monotonic()
        for position, (follower, version) in enumerate(zip(self.all, versions)):
            known = max(version, self._known_versions.get(position, -1))
            self._known_versions[position] = known
            if known <= follower.image.version:
                self._behind_since.pop(position, None)
                self._lagging_since.pop(position, None)
                continue
            since = self._behind_since.setdefault(position, now)
            self._lagging_since.setdefault(position, now)
            if version <= follower.image.version:
                continue
            max_lag_s = (
                _MAX_LAG_WITHOUT_STORE_S if follower.is_failing else _MAX_LAG_S
            )
            if now - since >= max_lag_s:
                self._behind_since[position] = now
                await self._fetch_image(peer, position)

    async def fetch_hosts(self, host: str, address: str) -> Changes | None:
        """Return the table of hosts of another host, None after an error.

        :param address: its port for other hosts, ``ip:port``.
        """
        position = self.all.index(self.hosts)
        return await self._images.fetch(host, address, position)

    async def serve_image(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the whole table that a peer requests by its position."""
        position = parse_count(request.path.removeprefix('/image/'))
        if position is None or position >= len(self.all):
            return web.Response(status=_STATUS_NOT_FOUND)
        image = self.all[position].image
        return web.Response(body=msgspec.msgpack.encode(image.export()))

    def _has_lost_call(self, position: int, follower: Follower) -> bool:
        """Tell whether a call withholds a change that peers know."""
        known = self._known_versions.get(position, -1)
        if known <= follower.image.version or follower.is_failing:
            return False
        behind_s = self._clock.monotonic() - self._behind_since[position]
        return min(behind_s, follower.call.age_s) > _MAX_CALL_LAG_S

    async def _fetch_image(self, peer: HostRecord, position: int) -> None:
        follower = self.all[position]
        address = f'{peer.ip}:{peer.internal_port}'
        started_at = self._clock.monotonic()
        changes = await self._images.fetch(peer.name, address, position)
        if changes is None:
            return
        is_newer = follower.apply_peer_image(changes)
        log_event(
            'peer image fetched',
            peer=peer.name,
            table=follower.settings.table,
            version=changes.version,
            is_newer=is_newer,
            store_age_s=round(follower.age_s, 3),
            took_s=round(self._clock.monotonic() - started_at, 3),
        )
