"""The extra retries, while hosts join and lapse and others hear it late."""

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field

from hypothesis import example, given, settings
from hypothesis import strategies as st

from crocusshunt.sharing import RetryLimit, RetryLimiter

_LIMIT = RetryLimit(ratio=0, extra=62, window_s=10)
_HOSTS = ('h0', 'h1', 'h2', 'h3', 'h4')
_STEP_S = 0.5
# With the time until the next division, the longest that hosts take to hear.
_MAX_LAG_S = 4.5


@dataclass(slots=True)
class _Fleet:
    """Hosts that go by the table of hosts as it was some time ago.

    :param lags_s: how far the table of each host lies back, in seconds.
    """

    lags_s: Sequence[float]
    now: float = 0
    table: list[tuple[float, frozenset[str]]] = field(
        default_factory=lambda: [(-100, frozenset(_HOSTS[:1]))]
    )
    limiters: dict[str, RetryLimiter] = field(
        default_factory=lambda: {name: RetryLimiter(_LIMIT) for name in _HOSTS}
    )
    retries: list[float] = field(default_factory=list)

    def change(self, names: frozenset[str]) -> None:
        """Let these hosts alone be in the table; those that join start anew."""
        for name in names - self.table[-1][1]:
            self.limiters[name] = RetryLimiter(_LIMIT)
        self.table.append((self.now, names))

    def advance(self, seconds: float) -> None:
        """Let time pass, in which hosts divide the extra retries."""
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            for name, lag_s in zip(_HOSTS, self.lags_s):
                known = self._find_table(self.now - lag_s)
                hosts = len(known) if name in known else 0
                self.limiters[name].divide(hosts, self.now)

    def retry(self, name: str, wanted: int) -> None:
        """Let a host send so many retries, or as many as it may."""
        for _ in range(wanted):
            if not self.limiters[name].spend('pool', self.now):
                break
            self.retries.append(self.now)

    def count_fullest(self) -> int:
        """Return the number of retries in the fullest window."""
        return max(
            (
                bisect_right(self.retries, at + _LIMIT.window_s) - first
                for first, at in enumerate(self.retries)
            ),
            default=0,
        )

    def _find_table(self, at: float) -> frozenset[str]:
        newest_first = reversed(self.table)
        return next(names for since, names in newest_first if since <= at)


_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just('change'), st.frozensets(st.sampled_from(_HOSTS))),
        st.tuples(st.just('wait'), st.sampled_from((0.5, 2, 5, 11, 16))),
        st.tuples(st.just('retry'), st.sampled_from(_HOSTS)),
    ),
    max_size=60,
)
_LAGS_S = st.lists(st.sampled_from((0, 1, _MAX_LAG_S)), min_size=5, max_size=5)
# The only host hears of another one as late as it may.
_LATE_NEWS: list[tuple[str, frozenset[str] | float | str]] = [
    ('wait', 40.0),
    ('change', frozenset(_HOSTS[:2])),
    ('wait', 4.0),
    ('retry', 'h0'),
    ('wait', 7.0),
    ('retry', 'h1'),
    ('wait', 5.0),
    ('retry', 'h1'),
]


@example(_LATE_NEWS, (_MAX_LAG_S, 0, 0, 0, 0))
@given(_EVENTS, _LAGS_S)
@settings(deadline=None)
def test_hosts_that_join_and_lapse_keep_the_extra_retries(
    events: list[tuple[str, frozenset[str] | float | str]],
    lags_s: Sequence[float],
) -> None:
    """Those that hear it late still use the part that they had before."""
    fleet = _Fleet(lags_s)
    fleet.advance(20)
    for kind, operand in events:
        if isinstance(operand, frozenset):
            fleet.change(operand)
        elif isinstance(operand, str):
            fleet.retry(operand, 80)
        else:
            fleet.advance(operand)
    assert fleet.count_fullest() <= _LIMIT.extra


def test_the_only_host_has_all_extra_retries_after_a_while() -> None:
    fleet = _Fleet((0, 0, 0, 0, 0))
    fleet.advance(20)
    fleet.retry('h0', 80)
    assert fleet.count_fullest() == _LIMIT.extra
