"""Local copies of the store tables, also fetched from and sent to peers."""

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
from crocusshunt.front._feed_lags import (
    FeedState,
    find_max_lag,
    withholds_news,
)
from crocusshunt.front._peer_images import ImageCopies, PeerImages
from crocusshunt.front._peer_versions import PeerVersions
from crocusshunt.front._settings import TableNames
from crocusshunt.logs import log_event
from crocusshunt.services import TaskGroup

# Longest wait of one feed call, in seconds. Heartbeats of the host that
# watches the store for the region show changes that a lost call withholds.
_POLL_WAIT_S = 10
# The same at the host that watches the store: it notices a lost call, and the
# end of an outage, so soon that a later change is followed in time.
_WATCH_WAIT_S = 0.8
# Time for which a large answer of the store is left there, since a host of the
# region that watches the store may have a copy sooner.
_HOLD_S = 1
# Pause after a change, so that the next call returns several at once.
_CONFIGURATION_SPACING_S = 0.5
_SERVERS_SPACING_S = 1.3
_HOSTS_SPACING_S = 2
# Entries that expired while the store was unavailable are rewritten within
# about this time, so their removal is put off for it.
_SERVERS_SETTLE_S = 2
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
        self._peer_versions = PeerVersions(clock)
        self._images = PeerImages()
        self._copies = ImageCopies()
        # Positions of the tables of which a copy is under way.
        self._fetching: set[int] = set()
        self.configuration = Follower(
            store,
            FollowerSettings(
                tables.configuration,
                wait_s=_POLL_WAIT_S,
                spacing_s=_CONFIGURATION_SPACING_S,
                copies_large=True,
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
        """Return how long a newer version of a table has been known.

        In seconds; zero if none is known.

        :param position: of the table in ``all``.
        """
        own = self.all[position].image.version
        return self._peer_versions.measure_lag(position, own)

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
        may_hold = self.configuration.image.is_known and not is_watcher
        self.configuration.call.hold_answers(_HOLD_S if may_hold else 0)
        for position, follower in enumerate(self.all):
            own = follower.image.version
            lag_s = self._peer_versions.measure_pause(position, own)
            if withholds_news(_describe(follower), lag_s):
                log_event(
                    'feed call lost',
                    table=follower.settings.table,
                    quiet_s=round(follower.call.quiet_s, 3),
                    received_bytes=follower.call.progress.received_bytes,
                )
                follower.refresh()

    async def fetch_if_behind(
        self,
        peer: HostRecord,
        versions: tuple[int, ...],
        *,
        is_near: bool = True,
    ) -> None:
        """Fetch tables from a peer that has been ahead for too long.

        :param versions: of the peer's tables, in the order of ``all``.
        :param is_near: whether the peer is a host of this region; others are
            asked later, since their copies take the links between regions.
        """
        peers = self._peer_versions
        for position, (follower, version) in enumerate(zip(self.all, versions)):
            own = follower.image.version
            if not peers.note(position, told=version, own=own):
                continue
            pause_s = peers.measure_pause(position, own)
            max_lag_s = find_max_lag(_describe(follower), is_near=is_near)
            if version > own and pause_s >= max_lag_s:
                peers.note_try(position)
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
        return self._copies.respond(request, position, image)

    async def _fetch_image(self, peer: HostRecord, position: int) -> None:
        """Fetch a table from a peer, one copy of it at a time."""
        if position in self._fetching:
            return
        self._fetching.add(position)
        try:
            await self._apply_copy(peer, position)
        finally:
            self._fetching.remove(position)

    async def _apply_copy(self, peer: HostRecord, position: int) -> None:
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


def _describe(follower: Follower) -> FeedState:
    call = follower.call
    return FeedState(
        is_failing=follower.is_failing,
        is_receiving=call.is_receiving,
        is_reading_large=follower.is_reading_large,
        quiet_s=call.quiet_s,
    )
