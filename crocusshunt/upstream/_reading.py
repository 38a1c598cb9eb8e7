"""Bounds on the time of the event loop that reading of answers takes."""

import asyncio
from dataclasses import dataclass

# Steps of an answer that are not limited: ordinary answers end before.
_FREE_STEPS = 256
# After so many steps, other callbacks of the event loop have their turn.
_TURN_STEPS = 64
# So many received bytes take about as long as one step of the parser.
_BYTES_PER_STEP = 16_384


@dataclass(slots=True)
class ReadingBudget:
    """Steps that all long answers of a host may take together.

    A step parses one piece of an answer, however small it is. A server may send
    pieces without end, and each takes time from other requests. Answers beyond
    their free steps take turns, so their number and the size of their pieces
    don't matter to others.

    :param steps_per_s: about a sixth of the time of one core.
    :param burst_steps: most steps that are saved up.

    >>> budget = ReadingBudget(steps_per_s=100, burst_steps=50)
    >>> [budget.reserve(50, now=1), budget.reserve(50, now=1)]
    [0, 0.5]
    """

    steps_per_s: float = 20_000
    burst_steps: float = 4_000
    _left: float = 0
    _filled_at: float = float('-inf')

    def reserve(self, steps: int, now: float) -> float:
        """Take steps; return how long to wait for them, in seconds.

        :param now: seconds of any clock that does not go back.
        """
        refilled = (now - self._filled_at) * self.steps_per_s
        self._left = min(self.burst_steps, self._left + refilled) - steps
        self._filled_at = now
        return max(0, -self._left / self.steps_per_s)


@dataclass(slots=True)
class ReadingTurns:
    """The steps of one answer."""

    budget: ReadingBudget
    _left: int = _FREE_STEPS

    async def take_step(self, received: int = 0) -> None:
        """Count a step, and wait for the next turn if this one is over.

        :param received: bytes to be parsed, if any were received.
        """
        self._left -= 1 + received // _BYTES_PER_STEP
        if self._left > 0:
            return
        steps = _TURN_STEPS - self._left
        self._left = _TURN_STEPS
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self.budget.reserve(steps, now))
