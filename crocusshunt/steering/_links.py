"""Each gateway's part of a link's limit."""

from collections import deque

_WINDOW_S = 60


class LinkBudget:
    """Keeps one gateway within its part of a link, in Mbit/s.

    The parts of all gateways of a region sum to at most the link's limit,
    although they learn of each other at different times: a part counts the
    greatest number of listed hosts in a window that is longer than the list
    lags, lost hosts included, and a host that starts waits for one window.

    >>> budget = LinkBudget(limit_mbits=100, now_s=0)
    >>> budget.record_host_count(2, now_s=0)
    >>> budget.can_send(1, now_s=59), budget.can_send(1, now_s=61)
    (False, True)
    """

    def __init__(self, limit_mbits: float, now_s: float) -> None:
        """Start without a part.

        :param limit_mbits: limit of the link, in Mbit/s.
        """
        self._limit_mbits = limit_mbits
        self._started_s = now_s
        self._refilled_s = now_s
        self._saved_mbit: float = 0
        self._counts: deque[tuple[float, int]] = deque()

    def record_host_count(self, hosts: int, now_s: float) -> None:
        """Keep how many hosts of the region the platform lists."""
        self._refill(now_s)
        while self._counts and now_s - self._counts[0][0] > _WINDOW_S:
            self._counts.popleft()
        # Smaller counts before this one can no longer be the greatest.
        while self._counts and self._counts[-1][1] <= hosts:
            self._counts.pop()
        self._counts.append((now_s, hosts))

    def compute_share(self, now_s: float) -> float:
        """Return this gateway's part, in Mbit/s."""
        if not self._counts or now_s - self._started_s < _WINDOW_S:
            return 0
        return self._limit_mbits / max(count for _, count in self._counts)

    def can_send(self, mbit: float, now_s: float) -> bool:
        """Tell whether a request and its answer fit.

        :param mbit: their expected size, in Mbit.
        """
        self._refill(now_s)
        return self._saved_mbit >= mbit

    def spend(self, mbit: float, now_s: float) -> None:
        """Count what was sent, also where it was more than expected."""
        self._refill(now_s)
        self._saved_mbit -= mbit

    def _refill(self, now_s: float) -> None:
        part = self.compute_share(now_s)
        earned = (now_s - self._refilled_s) * part
        # At most one second's worth is saved, so that bursts stay short.
        self._saved_mbit = min(part, self._saved_mbit + earned)
        self._refilled_s = now_s
