"""The retry limit over all hosts and all their starts, by every window."""

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusshunt.core import ManualClock
from crocusshunt.fleet import FleetSettings, FleetView
from crocusshunt.front._limits import SharedLimits, create_shared_limits
from crocusshunt.front._settings import DeploymentLimits
from crocusshunt.front.tests._region import create_record

_LIMITS = DeploymentLimits(retry_ratio=0.2, retry_extra=62, retry_window_s=10)
_HOSTS = tuple(f'a{number}' for number in range(11))
_STEP_S = 0.01
_DIVISION_S = 1


@dataclass(slots=True)
class _Fleet:
    """Hosts that are started and killed, and all that they sent to a pool."""

    knows_others: bool = True
    clock: ManualClock = field(default_factory=ManualClock)
    running: dict[str, SharedLimits] = field(default_factory=dict)
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)

    def start(self, names: Sequence[str]) -> None:
        """Start hosts anew, which end their former processes."""
        for name in names:
            fleet = FleetView(create_record(name), FleetSettings())
            for other in _HOSTS if self.knows_others else ():
                fleet.put(create_record(other))
            front_settings = Mock(limits=_LIMITS, is_first_start=False)
            cluster = Mock(fleet=fleet, index=None)
            limits = create_shared_limits(cluster, front_settings, self.clock)
            limits.is_registered = self.knows_others
            limits.divide(self.clock.monotonic(), is_ready=True)
            self.running[name] = limits

    def advance(self, seconds: float) -> None:
        """Let time pass, in which hosts divide their limits again."""
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            self.clock.advance(min(_DIVISION_S, until - self.clock.monotonic()))
            for limits in self.running.values():
                limits.divide(self.clock.monotonic(), is_ready=True)

    def request(self, name: str, wanted: int) -> None:
        """Let a host take a request and ask for so many retries."""
        now = self.clock.monotonic()
        retries = self.running[name].retries
        retries.limiter.note_request('pool', now)
        self.requests.append(now)
        for _ in range(wanted):
            if not retries.spend('pool'):
                break
            self.retries.append(now)

    def serve(
        self,
        names: Sequence[str],
        seconds: float,
        wanted: int,
        per_step: int = 1,
    ) -> None:
        """Spread requests over hosts for some time, some in each step."""
        for step in range(round(seconds / _STEP_S)):
            for turn in range(per_step):
                chosen = names[(step * per_step + turn) % len(names)]
                self.request(chosen, wanted)
            self.clock.advance(_STEP_S)
            if not step % round(_DIVISION_S / _STEP_S):
                for limits in self.running.values():
                    limits.divide(self.clock.monotonic(), is_ready=True)

    def find_excess(self) -> float:
        """Return how far the fullest window lies over the limit."""
        shifts = (0, _LIMITS.retry_window_s / 2, _LIMITS.retry_window_s)
        return max(
            _count(self.retries, start_at)
            - _LIMITS.retry_ratio
            * max(_count(self.requests, start_at - one) for one in shifts)
            - _LIMITS.retry_extra
            for start_at in self.retries
        )


def _count(times: Sequence[float], start_at: float) -> int:
    end_at = start_at + _LIMITS.retry_window_s
    return bisect_right(times, end_at) - bisect_left(times, start_at)


def test_hosts_killed_again_and_again_keep_the_retry_limit() -> None:
    """A host that starts has spent what its former process spent."""
    fleet = _Fleet()
    for seconds in (4, 2.5, 2.5, 2.5):
        fleet.start(_HOSTS)
        fleet.serve(_HOSTS, seconds, wanted=2)
    assert fleet.find_excess() <= 0


def test_hosts_that_know_no_other_host_keep_the_retry_limit() -> None:
    """A host without the table of hosts is not the only one."""
    fleet = _Fleet(knows_others=False)
    fleet.start(_HOSTS)
    fleet.serve(_HOSTS, 4, wanted=2)
    assert fleet.find_excess() <= 0


def test_callers_that_move_to_other_hosts_keep_the_retry_limit() -> None:
    """What one host retries after calm adds to what the next one does."""
    fleet = _Fleet()
    fleet.start(_HOSTS)
    fleet.serve(_HOSTS[:5], 10, wanted=0, per_step=4)
    fleet.serve(_HOSTS[:5], 0.5, wanted=2, per_step=4)
    fleet.serve(_HOSTS[5:], 9.4, wanted=2, per_step=4)
    assert fleet.find_excess() <= 0


def test_retries_go_on_where_servers_reject_for_long() -> None:
    fleet = _Fleet()
    fleet.start(_HOSTS)
    fleet.serve(_HOSTS, 30, wanted=1)
    served = _count(fleet.retries, 19)
    assert 0.14 * _count(fleet.requests, 19) < served
    assert fleet.find_excess() <= 0


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('request', 'burst', 'start', 'wait')),
        st.sampled_from(_HOSTS),
        st.integers(0, 40),
    ),
    max_size=60,
)


@settings(deadline=None)
@given(_EVENTS, st.booleans())
def test_any_order_of_starts_and_requests_keeps_the_retry_limit(
    events: list[tuple[str, str, int]], knows_others: bool
) -> None:
    fleet = _Fleet(knows_others=knows_others)
    fleet.start(_HOSTS)
    fleet.request('a0', 1)
    for kind, name, amount in events:
        if kind == 'start':
            fleet.start((name,))
        elif kind == 'wait':
            fleet.advance(amount / 4)
        else:
            for _ in range(amount if kind == 'burst' else 1):
                fleet.request(name, amount)
    assert not fleet.retries or fleet.find_excess() <= 0
