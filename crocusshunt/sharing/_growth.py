"""Shares that shrink at once and grow only after others could shrink."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class DelayedGrowth:
    """Minimum of a value over a sliding window of time.

    Hosts learn of a change at different moments. One whose share grows waits
    until the others, whose shares shrink by the same change, have learned of
    it; otherwise the sum of all shares would exceed the total meanwhile.

    :param window_s: length of the window, in seconds.

    >>> share = DelayedGrowth(window_s=1)
    >>> [share.apply(rate, now) for rate, now in ((5, 0), (9, 0.5), (9, 1.2))]
    [5, 5, 9]
    >>> share.apply(2, 1.3)
    2
    """

    window_s: float
    # Values that may still become the minimum, in ascending order.
    _candidates: deque[tuple[float, float]] = field(default_factory=deque)

    def apply(self, value: float, now: float) -> float:
        """Add a value; return the least one of the window.

        :param now: monotonic seconds.
        """
        candidates = self._candidates
        while candidates and candidates[-1][0] >= value:
            candidates.pop()
        candidates.append((value, now))
        while candidates[0][1] < now - self.window_s:
            candidates.popleft()
        return candidates[0][0]
