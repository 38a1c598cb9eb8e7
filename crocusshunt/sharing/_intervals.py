"""Minimum time between events."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class MinIntervalLimiter:
    """Allows events of one name only at a minimum interval.

    >>> limiter = MinIntervalLimiter()
    >>> limiter.take('s1', 0.5, now=0), limiter.take('s1', 0.5, now=0.2)
    (True, False)
    """

    _last_times: dict[str, float] = field(default_factory=dict)

    def take(self, name: str, min_interval_s: float, now: float) -> bool:
        """Return whether an event may happen now; if so, record its time.

        :param min_interval_s: time since the last allowed event, in seconds.
        :param now: monotonic seconds.
        """
        if now - self._last_times.get(name, float('-inf')) < min_interval_s:
            return False
        self._last_times[name] = now
        return True

    def forget(self, name: str) -> None:
        """Drop the time of a name's last event."""
        self._last_times.pop(name, None)
