"""How slowly callers may take their answers."""

from crocusshunt.front._pace import Pace


def _take(rate: float, added_bytes: int, seconds: int) -> float | None:
    """Return when a caller that takes so many bytes a second is too slow."""
    pace = Pace(added_bytes=added_bytes)
    for now in range(1, seconds + 1):
        left = max(0, added_bytes - int(rate * now))
        pace.note(left, now, is_sending=True)
        if pace.is_too_slow:
            return now
    return None


def test_caller_that_takes_nothing_is_too_slow_after_its_time() -> None:
    assert _take(0, 1_000_000, 100) == 31


def test_caller_that_takes_little_has_time_for_the_size() -> None:
    assert _take(100, 409_600, 1000) == 161


def test_caller_above_the_lowest_rate_may_take_everything() -> None:
    assert _take(4096, 4_096_000, 1000) is None


def test_time_of_a_slow_server_is_not_the_callers() -> None:
    pace = Pace(added_bytes=1000)
    for now in range(1, 200):
        pace.note(1000, now, is_sending=False)
    assert not pace.is_too_slow
