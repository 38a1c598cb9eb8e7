"""Which hosts there are, and which of them live."""

from collections.abc import Iterable
from dataclasses import dataclass

from crocusshunt.fleet._messages import (
    Heartbeat,
    HostRecord,
    RegionSummary,
    StatusMessage,
)


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """When a host counts as gone.

    :param heartbeat_s: time between heartbeats, in seconds.
    :param silent_after_s: silence after which callers are no longer sent to
        a host, in seconds.
    """

    heartbeat_s: float = 1
    silent_after_s: float = 3


@dataclass(slots=True)
class Peer:
    """Another host, by its record and its last heartbeat."""

    record: HostRecord
    heartbeat: Heartbeat | None = None
    heard_at: float = float('-inf')

    def is_heard(self, now: float, within_s: float) -> bool:
        """Tell whether a heartbeat came within a time."""
        return now - self.heard_at <= within_s


@dataclass(frozen=True, slots=True)
class HeardRegion:
    """Another region, by the last summary that came from it."""

    summary: RegionSummary
    heard_at: float


class FleetView:
    """All registered hosts as one host sees them.

    >>> own = HostRecord('h1', '10.0.0.1', 7600, '10.0.0.1:80', 'a1', 'a')
    >>> view = FleetView(own, FleetSettings())
    >>> view.names
    ('h1',)
    >>> view.find_front_addresses('a1', 'a', now=0, is_ready=True)
    ('10.0.0.1:80',)
    """

    def __init__(self, own: HostRecord, settings: FleetSettings) -> None:
        """Start alone."""
        self.own = own
        self._settings = settings
        self.peers: dict[str, Peer] = {}
        self._regions: dict[str, HeardRegion] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all registered hosts, sorted."""
        return tuple(sorted({self.own.name, *self.peers}))

    def put(self, record: HostRecord) -> None:
        """Take the record of a host."""
        if record.name == self.own.name:
            return
        known = self.peers.get(record.name)
        if known is None or known.record != record:
            self.peers[record.name] = Peer(record)

    def remove(self, name: str) -> None:
        """Forget a host whose record was removed."""
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
        """Tell whether this host sends its region's summary."""
        heard = (peer.record.name for peer in self.list_live(now))
        return all(self.own.name < name for name in heard)

    def handle_message(self, message: StatusMessage, now: float) -> Peer | None:
        """Take a message; return its host, None for an unknown or old one."""
        peer = self.peers.get(message.name)
        if peer is None:
            return None
        if isinstance(message, RegionSummary):
            self._regions[message.region] = HeardRegion(message, now)
            return peer
        known = peer.heartbeat
        if known is not None and _is_older(message, known):
            return None
        peer.heartbeat = message
        peer.heard_at = now
        return peer

    def list_live(self, now: float) -> tuple[Peer, ...]:
        """Return the other hosts of this region that were heard lately."""
        limit = self._settings.silent_after_s
        return tuple(
            peer
            for _name, peer in sorted(self.peers.items())
            if peer.is_heard(now, limit)
        )

    def list_ready(self, now: float) -> tuple[HostRecord, ...]:
        """Return the other hosts of this region that take requests."""
        return tuple(
            peer.record
            for peer in self.list_live(now)
            if peer.heartbeat is not None and peer.heartbeat.is_ready
        )

    def list_summaries(self, now: float) -> tuple[RegionSummary, ...]:
        """Return the summaries of other regions that came lately."""
        limit = self._settings.silent_after_s
        return tuple(
            heard.summary
            for _region, heard in sorted(self._regions.items())
            if now - heard.heard_at <= limit
        )

    def find_front_addresses(
        self,
        failure_domain: str,
        region: str,
        now: float,
        *,
        is_ready: bool,
    ) -> tuple[str, ...]:
        """Return where callers should connect, nearest hosts only.

        Hosts of the caller's failure domain if there are two or more that
        are ready, else those of its region, else those of this host's
        region, else every host.

        :param is_ready: whether this host is ready itself.
        """
        ready = list(self.list_ready(now))
        if is_ready:
            ready.append(self.own)
        domain = _select_domain(ready, failure_domain)
        if len(domain) >= _LEAST_ENTRIES:
            return _list_addresses(domain)
        for wanted in (region, self.own.region):
            near = [record for record in ready if record.region == wanted]
            if near:
                return _list_addresses(near)
        return _list_addresses(ready)


# A caller whose only address fails could not go on until its next look-up.
_LEAST_ENTRIES = 2


def _select_domain(
    records: Iterable[HostRecord],
    failure_domain: str,
) -> list[HostRecord]:
    return [one for one in records if one.failure_domain == failure_domain]


def _list_addresses(records: Iterable[HostRecord]) -> tuple[str, ...]:
    return tuple(sorted(record.front_address for record in records))


def _is_older(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    """Tell whether a heartbeat was overtaken by a newer one.

    Heartbeats of another start are never older: wall clocks may step back.
    """
    if heartbeat.started_at != known.started_at:
        return False
    return heartbeat.sequence <= known.sequence
