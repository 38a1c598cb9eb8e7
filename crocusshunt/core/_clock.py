"""Clocks, passed as arguments so that tests can control the time."""

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """Interface of the time source that the components use."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary origin."""

    def boottime(self) -> float:
        """Return seconds like ``monotonic``, those of suspension included."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock that reads the operating system's time."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary origin."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return seconds like ``monotonic``, those of suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@dataclass
class ManualClock:
    """Clock that moves only by ``advance``, for tests and golden files.

    :param seconds: monotonic time, in seconds.
    :param epoch: wall time at monotonic time 0, in seconds since the Unix
        epoch.

    >>> clock = ManualClock()
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    2.5
    """

    seconds: float = 0
    epoch: float = 0

    def monotonic(self) -> float:
        """Return the initial seconds plus those advanced so far."""
        return self.seconds

    def boottime(self) -> float:
        """Return ``monotonic``: this clock is never suspended."""
        return self.monotonic()

    def wall(self) -> float:
        """Return ``epoch`` plus the monotonic time, in seconds."""
        return self.epoch + self.seconds

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: time to add, in seconds.
        """
        self.seconds += seconds
