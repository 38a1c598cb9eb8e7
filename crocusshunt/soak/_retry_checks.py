"""Check for repeats at the servers of a pool, summed over all hosts."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from crocusshunt.soak._records import ChangeKind, Records
from crocusshunt.soak._server_records import Arrival

RETRY_WINDOW_S = 10
RETRY_RATIO = 0.2
# Repeats that a pool may get in a window in addition to the ratio.
RETRY_EXTRA_COUNT = 12
# Requests may be counted in the window of the repeats, in the one before it, or
# half a window before it.
_SHIFTS_S = (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
# A route leads to a new pool before its first request arrives there.
_FIRST_ARRIVAL_S = 1


@dataclass(frozen=True, slots=True)
class _PoolTraffic:
    """What a pool got, in ascending order of time.

    :param requests: when callers sent requests for it, monotonic seconds.
    :param repeats: when requests arrived there again, monotonic seconds.
    """

    requests: Sequence[float]
    repeats: Sequence[float]

    def find_overrun(self) -> str:
        """Describe the first window with too many repeats, if there is one."""
        for start_at in self.repeats:
            found = _count(self.repeats, start_at)
            sent = max(
                _count(self.requests, start_at - shift_s)
                for shift_s in _SHIFTS_S
            )
            allowed = RETRY_RATIO * sent + RETRY_EXTRA_COUNT
            if found > allowed:
                return (
                    f'{found} repeats in {RETRY_WINDOW_S} s for {sent} '
                    f'requests, at most {allowed:.0f}'
                )
        return ''


def find_excess_repeats(records: Records) -> Iterator[str]:
    """Find pools that got more repeats than the retry limit allows.

    Every host counts, also one that a fault disturbed.
    """
    arrivals: defaultdict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(records.arrivals, key=lambda one: one.at):
        arrivals[arrival.pool].append(arrival)
    for pool, arrived in arrivals.items():
        traffic = _PoolTraffic(
            _list_requests(records, pool, arrived[0].at),
            _list_repeats(arrived),
        )
        overrun = traffic.find_overrun()
        if overrun:
            yield f'{pool}: {overrun}'


def _list_requests(
    records: Records, pool: str, first_at: float
) -> Sequence[float]:
    """Return when requests were sent while routes led to a pool."""
    left_at = [
        change.at
        for change in records.changes
        if change.kind is ChangeKind.moved_route and change.subject == pool
    ]
    until = min(left_at, default=float('inf'))
    return sorted(
        call.sent_at
        for call in records.calls
        if first_at - _FIRST_ARRIVAL_S <= call.sent_at <= until
    )


def _list_repeats(arrivals: Sequence[Arrival]) -> Sequence[float]:
    seen: set[str] = set()
    repeats = []
    for arrival in arrivals:
        if arrival.request_id in seen:
            repeats.append(arrival.at)
        seen.add(arrival.request_id)
    return repeats


def _count(times: Sequence[float], start_at: float) -> int:
    """Return how many of some sorted times lie in a window."""
    end_at = start_at + RETRY_WINDOW_S
    return bisect_right(times, end_at) - bisect_left(times, start_at)
