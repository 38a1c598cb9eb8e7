"""Versions of tables that other hosts have."""

from dataclasses import dataclass, field

from crocusshunt.core import Clock


@dataclass(slots=True)
class PeerVersions:
    """The newest versions that other hosts told, by position of the table.

    >>> from crocusshunt.core import SystemClock
    >>> versions = PeerVersions(SystemClock())
    >>> versions.note(0, told=7, own=5), versions.note(0, told=6, own=7)
    (True, False)
    """

    clock: Clock
    _newest: dict[int, int] = field(default_factory=dict)
    _behind_since: dict[int, float] = field(default_factory=dict)
    _tried_at: dict[int, float] = field(default_factory=dict)

    def note(self, position: int, *, told: int, own: int) -> bool:
        """Record a peer's version; return whether any peer's is newer.

        :param own: version of this host's copy.
        """
        newest = max(told, self._newest.get(position, -1))
        self._newest[position] = newest
        if newest <= own:
            self._behind_since.pop(position, None)
            self._tried_at.pop(position, None)
            return False
        self._behind_since.setdefault(position, self.clock.monotonic())
        return True

    def note_try(self, position: int) -> None:
        """Record that a peer is asked for its copy now."""
        self._tried_at[position] = self.clock.monotonic()

    def measure_lag(self, position: int, own: int) -> float:
        """Return how long a newer version has been known, in seconds.

        Zero if none is known.
        """
        if self._newest.get(position, -1) <= own:
            return 0
        now = self.clock.monotonic()
        return now - self._behind_since.get(position, now)

    def measure_pause(self, position: int, own: int) -> float:
        """Return the lag, or the time since the last try if it is shorter."""
        lag_s = self.measure_lag(position, own)
        tried_at = self._tried_at.get(position, float('-inf'))
        return min(lag_s, self.clock.monotonic() - tried_at)
