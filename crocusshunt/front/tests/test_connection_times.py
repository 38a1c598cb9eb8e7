"""When connections without a request are ended, on a clock of the test."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import pytest

from crocusshunt.catalog import RequestLimits
from crocusshunt.front._connection_times import ConnectionTimes
from crocusshunt.ingress import EndCause

_LIMITS = RequestLimits(header_timeout_s=3, idle_timeout_s=15)
_STEP_S = 0.25


@dataclass(slots=True)
class _Timer:
    due: float
    call: Callable[[], None]
    is_cancelled: bool = False

    def cancel(self) -> None:
        self.is_cancelled = True


@dataclass(slots=True)
class _Loop:
    """An event loop whose time the test moves on."""

    now: float = 0
    timers: list[_Timer] = field(default_factory=list)

    def time(self) -> float:
        return self.now

    def call_later(self, delay_s: float, call: Callable[[], None]) -> _Timer:
        timer = _Timer(self.now + delay_s, call)
        self.timers.append(timer)
        return timer

    def run_until(self, end: float) -> None:
        while True:
            due = [one for one in self.timers if not one.is_cancelled]
            first = min(due, key=lambda one: one.due, default=None)
            if first is None or first.due > end:
                break
            self.timers.remove(first)
            self.now = first.due
            first.call()
        self.now = end


@dataclass(slots=True)
class _Connection:
    is_idle: bool = True
    is_in_head: bool = False
    is_delivered: bool = True
    is_closed_by_host: bool = False


@dataclass(slots=True)
class _Case:
    loop: _Loop = field(default_factory=_Loop)
    connection: _Connection = field(default_factory=_Connection)
    ends: list[tuple[EndCause, float]] = field(default_factory=list)

    def begin(self) -> ConnectionTimes:
        return ConnectionTimes(
            self.connection,
            cast(asyncio.AbstractEventLoop, self.loop),
            lambda: _LIMITS,
            lambda cause: self.ends.append((cause, self.loop.now)),
        )

    def end(self) -> tuple[EndCause, float]:
        """Return why and when the connection was ended, once."""
        assert len(self.ends) == 1
        return self.ends[0]


def test_silent_connection_is_ended_at_its_time() -> None:
    case = _Case()
    case.begin()
    case.loop.run_until(100)
    cause, ended_at = case.end()
    assert cause is EndCause.idle
    assert ended_at == pytest.approx(15, abs=_STEP_S / 10)


def test_head_is_ended_at_its_time_whatever_comes_of_it() -> None:
    case = _Case()
    times = case.begin()
    case.loop.run_until(5)
    case.connection.is_in_head = True
    while case.loop.now < 20:
        times.note_head()
        case.loop.run_until(case.loop.now + _STEP_S)
    cause, ended_at = case.end()
    assert cause is EndCause.head_timeout
    assert ended_at == pytest.approx(8, abs=_STEP_S / 10)


@pytest.mark.parametrize('answered_at', [1, 2.9, 7.3])
def test_idle_time_begins_with_the_response(answered_at: float) -> None:
    case = _Case()
    times = case.begin()
    case.connection.is_idle = False
    case.loop.run_until(answered_at)
    case.connection.is_idle = True
    times.note_active()
    case.loop.run_until(100)
    cause, ended_at = case.end()
    assert cause is EndCause.idle
    assert ended_at == pytest.approx(answered_at + 15, abs=_STEP_S / 10)


@pytest.mark.parametrize('received_at', [1, 4.4, 29.9])
def test_callers_may_use_four_fifths_from_the_receipt(
    received_at: float,
) -> None:
    """What the peer has received is seen a tenth of the time late at most."""
    case = _Case()
    times = case.begin()
    times.note_active()
    case.connection.is_delivered = False
    case.loop.run_until(received_at)
    case.connection.is_delivered = True
    case.loop.run_until(received_at + 12)
    assert not case.ends
    case.loop.run_until(100)
    cause, ended_at = case.end()
    assert cause is EndCause.idle
    assert received_at + 13.5 <= ended_at <= received_at + 15.1


@pytest.mark.parametrize('is_closed', [True, False])
def test_response_that_is_never_received_ends_the_connection(
    is_closed: bool,  # noqa: FBT001
) -> None:
    case = _Case()
    case.begin()
    case.connection.is_delivered = False
    case.connection.is_closed_by_host = is_closed
    case.loop.run_until(100)
    cause, ended_at = case.end()
    assert cause is EndCause.unread
    # It is seen at one look, and over at another one.
    assert 60 <= ended_at <= 63.1


def test_connection_with_a_request_is_not_ended() -> None:
    case = _Case(connection=_Connection(is_idle=False))
    case.begin()
    case.loop.run_until(1000)
    assert not case.ends
