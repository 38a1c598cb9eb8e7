"""An event loop whose time passes only while nothing is ready to run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


class _InstantSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.seconds: float = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError('the simulation waits for nothing')
        self.seconds += max(0, timeout)
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs timers at once and moves its own time to theirs."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._instant.seconds


class LoopClock:
    """The clock of one host, at its own speed and origin.

    :param drift: how much faster than the loop it runs, as a ratio.
    """

    def __init__(self, drift: float = 0, origin: float = 0) -> None:
        """Read the running loop's time."""
        self._loop = asyncio.get_running_loop()
        self._drift = drift
        self._origin = origin

    def monotonic(self) -> float:
        """Return seconds from the host's own origin."""
        return self._origin + self._loop.time() * (1 + self._drift)

    def wall(self) -> float:
        """Return seconds since the start of the simulation."""
        return self.monotonic()


def simulate(scenario: Coroutine[Any, Any, _Outcome]) -> _Outcome:
    """Run a scenario in simulated time and return its outcome.

    >>> simulate(asyncio.sleep(3600, 'an hour later'))
    'an hour later'
    """
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(scenario)
