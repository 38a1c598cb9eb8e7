"""Clocks that decisions take as arguments."""

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """Source of time for every decision."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary origin."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary origin."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@dataclass
class ManualClock:
    """A clock that moves only when told, for tests and golden files.

    >>> clock = ManualClock()
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    2.5
    """

    seconds: float = 0
    epoch: float = 0

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self.seconds

    def wall(self) -> float:
        """Return the epoch plus the seconds advanced so far."""
        return self.epoch + self.seconds

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, in seconds.
        """
        self.seconds += seconds
