"""Division of a link's bandwidth limit among gateways."""

from collections import deque

_HOST_COUNT_WINDOW_S = 60


class LinkBudget:
    """Limits one gateway to its share of a link, as a token bucket.

    A gateway's share, in Mbit/s, is the link's limit divided by the highest
    number of hosts that the platform listed for the region within the last
    60 s, lost hosts included. The window is longer than the host list lags,
    and a gateway has no share until one window after its start. Therefore
    the shares of all gateways of a region add up to at most the limit,
    although the gateways learn of each other at different times.

    >>> budget = LinkBudget(limit_mbits=100, now_s=0)
    >>> budget.record_host_count(2, now_s=0)
    >>> budget.can_send(1, now_s=59), budget.can_send(1, now_s=61)
    (False, True)
    """

    def __init__(self, limit_mbits: float, now_s: float) -> None:
        """Start with an empty bucket and without a share.

        :param limit_mbits: limit of the link, in Mbit/s.
        :param now_s: monotonic time, in seconds, as in all other methods.
        """
        self._limit_mbits = limit_mbits
        self._started_s = now_s
        self._refilled_s = now_s
        self._available_mbit: float = 0
        self._host_counts: deque[tuple[float, int]] = deque()

    def record_host_count(self, hosts: int, now_s: float) -> None:
        """Record how many hosts of the region the platform lists."""
        self._refill(now_s)
        while (
            self._host_counts
            and now_s - self._host_counts[0][0] > _HOST_COUNT_WINDOW_S
        ):
            self._host_counts.popleft()
        # Earlier counts that are not higher can no longer be the maximum.
        while self._host_counts and self._host_counts[-1][1] <= hosts:
            self._host_counts.pop()
        self._host_counts.append((now_s, hosts))

    def compute_share(self, now_s: float) -> float:
        """Return this gateway's share of the link, in Mbit/s."""
        if (
            not self._host_counts
            or now_s - self._started_s < _HOST_COUNT_WINDOW_S
        ):
            return 0
        return self._limit_mbits / max(count for _, count in self._host_counts)

    def can_send(self, mbit: float, now_s: float) -> bool:
        """Return whether a request and its answer fit into the budget.

        :param mbit: their expected size, in Mbit.
        """
        self._refill(now_s)
        return self._available_mbit >= mbit

    def consume(self, mbit: float, now_s: float) -> None:
        """Subtract what was sent, even if it exceeds the expected size.

        :param mbit: size of what was sent, in Mbit.
        """
        self._refill(now_s)
        self._available_mbit -= mbit

    def _refill(self, now_s: float) -> None:
        share = self.compute_share(now_s)
        earned_mbit = (now_s - self._refilled_s) * share
        # The bucket holds at most one second of the share, to keep bursts
        # short.
        self._available_mbit = min(share, self._available_mbit + earned_mbit)
        self._refilled_s = now_s
