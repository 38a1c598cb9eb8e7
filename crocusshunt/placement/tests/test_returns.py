"""Requests that come back after a refusal."""

import pytest

from crocusshunt.placement import ReturnSchedule, SlotRate

_SERVICE_S = 0.08
_SLOTS = 4
_TOLERANCE_S = 1e-9
_RATE = SlotRate(first_s=0.04, interval_s=_SERVICE_S / _SLOTS)


def _count_refused_again(times: list[float]) -> int:
    """Return how many find the slots of returning requests busy.

    That is half of the slots; the others serve requests that arrive meanwhile.
    """
    ends: list[float] = []
    refused = 0
    for now in sorted(times):
        ends = [end for end in ends if end > now + _TOLERANCE_S]
        if len(ends) < _SLOTS / 2:
            ends.append(now + _SERVICE_S)
        else:
            refused += 1
    return refused


def test_requests_refused_together_do_not_come_back_together() -> None:
    schedule = ReturnSchedule()
    times = [schedule.reserve('s1', _RATE, now=0) for _ in range(20)]
    assert _count_refused_again(times) == 0
    at_once = [_RATE.first_s for _ in range(20)]
    assert _count_refused_again(at_once) == 18


def test_first_request_comes_back_for_the_next_slot() -> None:
    schedule = ReturnSchedule()
    for server in ('s1', 's2'):
        wait_s = schedule.reserve(server, _RATE, now=5)
        assert wait_s == pytest.approx(_RATE.first_s)


def test_hosts_that_share_a_server_leave_room_for_each_other() -> None:
    times: list[float] = []
    for host in range(4):
        schedule = ReturnSchedule()
        rate = SlotRate(_RATE.first_s, _RATE.interval_s, hosts=4)
        now = 0.04 * host
        times += [now + schedule.reserve('s1', rate, now) for _ in range(5)]
    assert _count_refused_again(times) == 0
