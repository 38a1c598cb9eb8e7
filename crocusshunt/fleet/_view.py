"""Registered hosts, and which of them are live."""

from dataclasses import dataclass

from crocusshunt.fleet._assembly import AssembledStatus, begin_status
from crocusshunt.fleet._host_records import HostRecord
from crocusshunt.fleet._messages import (
    Heartbeat,
    RegionSummary,
    StatusMessage,
    StatusPart,
)
from crocusshunt.fleet._regions import RegionStates


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """When a host is no longer considered live.

    :param heartbeat_s: time between heartbeats, in seconds.
    :param silent_after_s: time without a heartbeat after which callers are no
        longer directed to a host, in seconds.
    :param watch_silent_after_s: time without a heartbeat after which a host is
        no longer relied on to watch the store, in seconds.
    """

    heartbeat_s: float = 1
    silent_after_s: float = 3
    watch_silent_after_s: float = 2.2


@dataclass(slots=True)
class Peer:
    """Another host, with its record and its last heartbeat.

    :param assembled: that heartbeat, None before the first one.
    :param received_at: time of the last heartbeat, monotonic seconds.
    """

    record: HostRecord
    assembled: AssembledStatus[Heartbeat] | None = None
    received_at: float = float('-inf')

    @property
    def heartbeat(self) -> Heartbeat | None:
        """Return the last heartbeat, as far as its parts have come."""
        return None if self.assembled is None else self.assembled.status

    @property
    def is_following(self) -> bool:
        """Tell whether it was ready and the store answered its calls."""
        heartbeat = self.heartbeat
        if heartbeat is None:
            return False
        return heartbeat.is_ready and heartbeat.is_following

    @property
    def reaches_servers(self) -> bool:
        """Tell whether it was ready and reached backend servers."""
        heartbeat = self.heartbeat
        if heartbeat is None:
            return False
        return heartbeat.is_ready and not heartbeat.is_cut_off

    @property
    def lost_pools(self) -> tuple[str, ...]:
        """Return the pools of which it reached no backend server."""
        return () if self.heartbeat is None else self.heartbeat.lost_pools

    def add_part(self, part: StatusPart) -> None:
        """Record a part of the last heartbeat, and ignore any other."""
        if self.assembled is not None:
            self.assembled = self.assembled.add(part)

    def is_live(self, now: float, max_age_s: float) -> bool:
        """Tell whether the last heartbeat is recent.

        :param max_age_s: longest time since it, in seconds.
        """
        return now - self.received_at <= max_age_s


class FleetView:
    """All registered hosts, as known to one of them.

    >>> own = HostRecord('h1', '10.0.0.1', 7600, '10.0.0.1:80', 'a1', 'a')
    >>> view = FleetView(own, FleetSettings())
    >>> view.names
    ('h1',)
    """

    def __init__(self, own: HostRecord, settings: FleetSettings) -> None:
        """Start with no other host.

        :param own: record of this host.
        """
        self.own = own
        self._settings = settings
        self.peers: dict[str, Peer] = {}
        self._regions = RegionStates()

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all registered hosts, sorted."""
        return tuple(sorted({self.own.name, *self.peers}))

    def put(self, record: HostRecord) -> None:
        """Add or replace the record of a host.

        A changed record discards the host's last heartbeat.
        """
        if record.name == self.own.name:
            return
        known = self.peers.get(record.name)
        if known is None or known.record != record:
            self.peers[record.name] = Peer(record)

    def remove(self, name: str) -> None:
        """Remove a host whose record was removed."""
        self.peers.pop(name, None)

    @property
    def same_region_hosts(self) -> tuple[HostRecord, ...]:
        """Return the records of the other hosts of this region."""
        return tuple(
            peer.record
            for peer in self.peers.values()
            if peer.record.region == self.own.region
        )

    @property
    def other_region_hosts(self) -> tuple[HostRecord, ...]:
        """Return the records of the hosts of all other regions."""
        return tuple(
            peer.record
            for peer in self.peers.values()
            if peer.record.region != self.own.region
        )

    def count_hosts(self, region: str) -> int:
        """Return the number of registered hosts of a region."""
        own = int(self.own.region == region)
        return own + sum(
            peer.record.region == region for peer in self.peers.values()
        )

    def is_summary_sender(self, now: float) -> bool:
        """Tell whether this host sends the summary of its region.

        It does if its name is the first among the region's live hosts.
        """
        live_names = (peer.record.name for peer in self.list_live(now))
        return all(self.own.name < name for name in live_names)

    def is_watcher(self, now: float) -> bool:
        """Tell whether this host watches the store closely for its region.

        It does if its name is the first among the hosts of the region that
        are ready and whose calls the store answers, so that the number of
        calls does not grow with the hosts of a region.
        """
        max_age_s = self._settings.watch_silent_after_s
        return all(
            self.own.name < peer.record.name
            for peer in self.peers.values()
            if peer.is_live(now, max_age_s) and peer.is_following
        )

    def is_first_heartbeat(self, message: StatusMessage) -> bool:
        """Tell whether a message is the first heartbeat after a host start."""
        peer = self.peers.get(message.name)
        if peer is None or not isinstance(message, Heartbeat):
            return False
        known = peer.heartbeat
        return known is None or known.started_at != message.started_at

    def handle_message(
        self, message: StatusMessage | StatusPart, now: float
    ) -> Peer | None:
        """Record a message; return the host that sent it.

        Return None, and ignore the message, if the host is unknown or if a
        newer heartbeat of it was received before. A part of another status
        than the newest of its sender is not recorded.
        """
        peer = self.peers.get(message.name)
        if peer is None:
            return None
        if isinstance(message, StatusPart):
            peer.add_part(message)
            self._regions.add_part(message, peer.record.region)
            return peer
        if isinstance(message, RegionSummary):
            self._regions.put(message, now)
            return peer
        known = peer.heartbeat
        if known is not None and _is_older(message, known):
            return None
        before = None if peer.assembled is None else peer.assembled.told
        peer.assembled = begin_status(message, before)
        peer.received_at = now
        return peer

    def list_live(self, now: float) -> tuple[Peer, ...]:
        """Return the other hosts of this region with recent heartbeats."""
        max_age_s = self._settings.silent_after_s
        return tuple(
            peer
            for _name, peer in sorted(self.peers.items())
            if peer.is_live(now, max_age_s)
        )

    def list_ready(self, now: float) -> tuple[HostRecord, ...]:
        """Return the live other hosts of this region that are ready."""
        return tuple(
            peer.record
            for peer in self.list_live(now)
            if peer.heartbeat is not None and peer.heartbeat.is_ready
        )

    def list_summaries(self, now: float) -> tuple[RegionSummary, ...]:
        """Return the summaries of other regions that are recent."""
        max_age_s = self._settings.silent_after_s
        return self._regions.list_recent(now, max_age_s)


def _is_older(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    """Tell whether a heartbeat is not newer than the last one received.

    Heartbeats may arrive out of order. One with another start time is always
    taken for newer, since wall clocks may be set back between two starts.
    """
    if heartbeat.started_at != known.started_at:
        return False
    return heartbeat.sequence <= known.sequence
