"""Minimum time between events."""

from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True)
class MinIntervalLimiter:
    """Allows events of one name only at a minimum interval.

    A former process may have had an event of each name until this one started.

    :param started_at: when it did, in monotonic seconds.

    >>> limiter = MinIntervalLimiter(started_at=10)
    >>> [limiter.take('s1', 0.5, now) for now in (10.2, 10.5, 10.7, 11)]
    [False, True, False, True]
    """

    started_at: float = -inf
    _last_times: dict[str, float] = field(default_factory=dict)

    def take(self, name: str, min_interval_s: float, now: float) -> bool:
        """Return whether an event may happen now; if so, record its time.

        :param min_interval_s: time since the last allowed event, in seconds.
        :param now: monotonic seconds.
        """
        last_at = self._last_times.get(name, self.started_at)
        if now - last_at < min_interval_s:
            return False
        self._last_times[name] = now
        return True

    def forget(self, name: str) -> None:
        """Drop the time of a name's last event."""
        self._last_times.pop(name, None)
