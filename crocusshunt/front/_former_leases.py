"""Leases that hosts gave before they were started again."""

from dataclasses import dataclass

from crocusshunt.fleet import (
    Heartbeat,
    LeaseRecall,
    LeasesDropped,
    StatusMessage,
)
from crocusshunt.front._followers import Followers
from crocusshunt.front._limits import SharedLimits
from crocusshunt.logs import log_event


@dataclass(frozen=True, slots=True)
class FormerLeases:
    """Lets a host that was started again use its parts of rates soon.

    It does not know what it lent before, and may use its parts once that has
    ended. So it asks all other hosts to drop what they hold of it.

    Load pattern: all hosts lose power for a moment. Without this, each of them
    refused the customers of its region until the longest lease had ended.

    :param started_at: Unix time of this process's start, in milliseconds.
    """

    limits: SharedLimits
    followers: Followers
    started_at: int

    @property
    def is_unsure(self) -> bool:
        """Tell whether leases of a former start of this host may hold."""
        return self.limits.given.is_unsure(self.limits.clock.boottime())

    @property
    def recall(self) -> LeaseRecall:
        """Return the message that asks a host to drop what it holds."""
        return LeaseRecall(self._own_name, self.started_at)

    def list_unasked(self) -> list[str]:
        """Return the hosts that have not said that they dropped it."""
        if not self.is_unsure:
            return []
        dropped_by = self.limits.given.dropped_by
        peers = self.limits.cluster.fleet.peers
        return [name for name in peers if name not in dropped_by]

    def drop(self, host: str) -> None:
        """Drop the leases that another host gave before its start."""
        self.limits.held.drop_host(host, self.limits.clock.boottime())

    def drop_recalled(self, message: LeaseRecall) -> LeasesDropped:
        """Drop the leases of another host's former starts; return a reply."""
        self.drop(message.name)
        return LeasesDropped(self._own_name, message.started_at)

    def note_dropped(self, message: LeasesDropped) -> None:
        """Apply what another host dropped, and use the parts if all did."""
        if message.started_at == self.started_at:
            self.limits.given.note_drop(message.name)
            self._settle()

    def apply(self, message: Heartbeat) -> None:
        """Apply what a heartbeat says of the leases of former starts."""
        if message.dropped == self.started_at:
            self.limits.given.note_drop(message.name)
        self._settle()

    @property
    def _own_name(self) -> str:
        return self.limits.own_name

    def _settle(self) -> None:
        if not self.is_unsure or not self.followers.knows_hosts():
            return
        given = self.limits.given
        left_s = given.unknown_until - self.limits.clock.boottime()
        given.settle(self.limits.cluster.fleet.peers)
        if not self.is_unsure:
            log_event('former leases dropped', left_s=round(left_s, 2))


def needs_reply(message: StatusMessage) -> bool:
    """Tell whether a host waits for others to drop its former leases.

    A reply of such a host needs none, or replies would follow each other.
    """
    if not isinstance(message, Heartbeat):
        return False
    return message.is_unsure and not message.dropped
