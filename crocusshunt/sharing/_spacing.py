"""A least time between events."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class MinIntervalLimiter:
    """Lets events of one name through at least a time apart.

    >>> limiter = MinIntervalLimiter()
    >>> limiter.take('s1', 0.5, now=0), limiter.take('s1', 0.5, now=0.2)
    (True, False)
    """

    _last: dict[str, float] = field(default_factory=dict)

    def take(self, name: str, apart_s: float, now: float) -> bool:
        """Let an event through; return whether it may happen now.

        :param apart_s: time since the one before, in seconds.
        """
        if now - self._last.get(name, float('-inf')) < apart_s:
            return False
        self._last[name] = now
        return True

    def forget(self, name: str) -> None:
        """Drop what is known of a name."""
        self._last.pop(name, None)
