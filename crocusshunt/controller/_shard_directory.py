"""Home hosts and witnesses of shards, chosen among the live hosts."""

from crocusshunt.controller._peers import Peers
from crocusshunt.core import Clock, rank_by_rendezvous
from crocusshunt.limits import choose_witnesses

_SILENT_AFTER_S = 3
_RETRY_AFTER_S = 15
_HANDOVER_DELAY_S = 5


class ShardDirectory:
    """Chooses the home host and the witnesses of each shard.

    The home is the host that should hold the shard's lease: the first in the
    rendezvous ranking of the live hosts. Unless it answers meanwhile, a host
    counts as failed from 3 to 15 seconds after its first timeout; after that
    it is tried again.

    :ivar _failing_since: monotonic time of each host's first timeout, in
        seconds.
    :ivar _displaced_since: monotonic time from which each shard has had
        another home, in seconds.
    """

    def __init__(self, host: str, peers: Peers, clock: Clock) -> None:
        """Start with no host known to fail.

        :param host: name of this host.
        """
        self._host = host
        self._peers = peers
        self._clock = clock
        self._failing_since: dict[str, float] = {}
        self._displaced_since: dict[str, float] = {}
        self._leaving_hosts: set[str] = set()

    def find_live(self) -> dict[str, str]:
        """Return the failure domain of each host believed to be live."""
        now = self._clock.monotonic()
        silent = {
            host
            for host, since in self._failing_since.items()
            if _SILENT_AFTER_S <= now - since < _RETRY_AFTER_S
        }
        return {
            host: domain
            for host, domain in self._peers.find_domains().items()
            if host not in silent
        }

    def exclude_own_host(self) -> None:
        """Stop choosing this host as a home, before a planned stop."""
        self._leaving_hosts.add(self._host)

    def find_home(self, shard: str, released_by: str = '') -> str | None:
        """Return the host that should lend for a shard, None without one.

        :param released_by: host that has just released the shard's lease and
            is not chosen again.
        """
        homes = set(self.find_live()) - self._leaving_hosts - {released_by}
        ranked = rank_by_rendezvous(shard, homes)
        return ranked[0] if ranked else None

    def choose_witnesses(self, shard: str) -> tuple[str, ...]:
        """Return the witnesses for a new lease of a shard."""
        return choose_witnesses(shard, self.find_live())

    def record_answer(self, host: str, *, has_answered: bool) -> None:
        """Record whether a call to a host was answered or timed out."""
        now = self._clock.monotonic()
        since = self._failing_since.get(host, now)
        if has_answered or now - since >= _RETRY_AFTER_S:
            self._failing_since.pop(host, None)
        if not has_answered:
            self._failing_since.setdefault(host, now)

    def is_displaced(self, shard: str) -> bool:
        """Tell whether a shard has had another home for 5 seconds.

        A shorter change of the live hosts does not move its lease.
        """
        if self.find_home(shard) in {None, self._host}:
            self._displaced_since.pop(shard, None)
            return False
        now = self._clock.monotonic()
        since = self._displaced_since.setdefault(shard, now)
        return now - since >= _HANDOVER_DELAY_S
