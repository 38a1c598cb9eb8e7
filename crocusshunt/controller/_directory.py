"""Which hosts live, as the holder of leases sees them."""

from crocusshunt.controller._peers import Peers
from crocusshunt.core import Clock, rank_by_rendezvous
from crocusshunt.limits import choose_witnesses

_SUSPECT_S = 3
_FORGIVE_S = 15
_HANDOVER_S = 5


class Directory:
    """Homes and witnesses of shards, without hosts that went silent."""

    def __init__(self, host: str, peers: Peers, clock: Clock) -> None:
        """Start without suspicion.

        :param host: name of this host.
        """
        self._host = host
        self._peers = peers
        self._clock = clock
        self._failing: dict[str, float] = {}
        self._displaced: dict[str, float] = {}
        self._leaving: set[str] = set()

    def find_live(self) -> dict[str, str]:
        """Return the failure domain of each host believed to live."""
        now = self._clock.monotonic()
        silent = {
            host
            for host, since in self._failing.items()
            if _SUSPECT_S <= now - since < _FORGIVE_S
        }
        return {
            host: domain
            for host, domain in self._peers.find_domains().items()
            if host not in silent
        }

    def leave(self) -> None:
        """Be no longer a home."""
        self._leaving.add(self._host)

    def find_home(self, shard: str, released_by: str = '') -> str | None:
        """Return the host that should lend for a shard.

        :param released_by: host that has just given the shard up.
        """
        homes = set(self.find_live()) - self._leaving - {released_by}
        ranked = rank_by_rendezvous(shard, homes)
        return ranked[0] if ranked else None

    def choose_witnesses(self, shard: str) -> tuple[str, ...]:
        """Return the witnesses for a new lease of a shard."""
        return choose_witnesses(shard, self.find_live())

    def note_answer(self, host: str, *, is_good: bool) -> None:
        """Note whether a host answered; a silent one is soon replaced."""
        now = self._clock.monotonic()
        since = self._failing.get(host, now)
        if is_good or now - since >= _FORGIVE_S:
            self._failing.pop(host, None)
        if not is_good:
            self._failing.setdefault(host, now)

    def is_displaced(self, shard: str) -> bool:
        """Tell whether another host has long been the home of a shard."""
        if self.find_home(shard) in {None, self._host}:
            self._displaced.pop(shard, None)
            return False
        now = self._clock.monotonic()
        since = self._displaced.setdefault(shard, now)
        return now - since >= _HANDOVER_S
