"""Time for which a host doesn't take an answer that its server sends."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from crocusshunt.core import Clock


def _note_nothing(_is_held: bool) -> None:
    """Take no notice."""


@dataclass(slots=True)
class AnswerHold:
    """How long one answer waited for room at the host, or for its turn.

    Its server has begun to answer by then, so such a wait tells nothing of the
    server's speed. What load it has left is for the server to say.

    :param note_change: called with whether the answer waits now.
    :param held_s: seconds of all waits that have ended.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> hold = AnswerHold(clock, print)
    >>> with hold.track():
    ...     clock.advance(2)
    True
    False
    >>> hold.held_s
    2
    """

    clock: Clock
    note_change: Callable[[bool], None] = _note_nothing
    held_s: float = 0

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count the time of the body as a wait."""
        started_at = self.clock.monotonic()
        self.note_change(True)
        try:
            yield
        finally:
            self.held_s += self.clock.monotonic() - started_at
            self.note_change(False)
