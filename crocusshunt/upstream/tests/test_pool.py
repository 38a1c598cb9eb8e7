"""Kept connections before requests that must not be sent twice."""

from unittest.mock import Mock

from crocusshunt.core import ManualClock
from crocusshunt.upstream import ConnectionPool, EchoPolicy, PoolSettings

_SERVER = ('s1', '10.0.0.1:80')


def _keep_one(clock: ManualClock) -> ConnectionPool:
    echo = EchoPolicy(b'id', b'not-run', frozenset())
    pool = ConnectionPool(PoolSettings(), echo, clock)
    pool.give_back(*_SERVER, Mock(is_reusable=True, idle_limit_s=5))
    return pool


def test_request_that_may_be_repeated_uses_an_idle_connection() -> None:
    clock = ManualClock()
    pool = _keep_one(clock)
    clock.advance(3)
    assert pool.take(*_SERVER, is_repeatable=True) is not None


def test_unrepeatable_request_is_not_sent_on_a_connection_that_rested() -> None:
    """The server may have forgotten it; the request's outcome were unknown."""
    clock = ManualClock()
    pool = _keep_one(clock)
    clock.advance(0.3)
    assert pool.take(*_SERVER, is_repeatable=False) is None
    assert pool.take(*_SERVER, is_repeatable=True) is not None


def test_unrepeatable_request_uses_a_connection_that_just_answered() -> None:
    clock = ManualClock()
    pool = _keep_one(clock)
    clock.advance(0.1)
    assert pool.take(*_SERVER, is_repeatable=False) is not None


def test_connection_that_is_too_old_is_closed() -> None:
    clock = ManualClock()
    pool = _keep_one(clock)
    clock.advance(6)
    assert pool.take(*_SERVER, is_repeatable=True) is None
