"""Attempts in flight that can be ended by the fingerprint of their request."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

# A time in the past, on the clock of the event loop.
_AT_ONCE_S = 0


@dataclass(slots=True)
class TrackedAttempts:
    """Timeouts of the attempts in flight, by fingerprint."""

    _timeouts: dict[str, list[asyncio.Timeout]] = field(default_factory=dict)

    @contextmanager
    def track(
        self, fingerprint: str, timeout: asyncio.Timeout
    ) -> Iterator[None]:
        """End an attempt early if its request is quarantined meanwhile.

        It may wait at a server that it would crash.

        :param timeout: that of the attempt.
        """
        attempts = self._timeouts.setdefault(fingerprint, [])
        attempts.append(timeout)
        try:
            yield
        finally:
            attempts.remove(timeout)
            if not attempts:
                self._timeouts.pop(fingerprint)

    def end(self, fingerprint: str) -> None:
        """End the attempts of a request as if their time were over."""
        for timeout in self._timeouts.get(fingerprint, ()):
            if not timeout.expired():
                timeout.reschedule(_AT_ONCE_S)
