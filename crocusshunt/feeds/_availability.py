"""Whether a store answers the calls for a table."""

import logging

from crocusshunt.core import Clock
from crocusshunt.feeds._errors import FeedError
from crocusshunt.logs import log_event


class StoreAvailability:
    """Answers and failures of the calls for one table, and their log.

    ``cause`` is the error of the last call, empty if it was answered.
    """

    def __init__(self, table: str, clock: Clock) -> None:
        """Count from now as if the store had just answered.

        :param table: name of the table, for the log.
        """
        self._table = table
        self._clock = clock
        self._answered_at = clock.monotonic()
        self._failing_since: float | None = None
        self._has_answered = False
        self.cause = ''

    @property
    def age_s(self) -> float:
        """Return the time since the last answer, in seconds."""
        return self._clock.monotonic() - self._answered_at

    @property
    def is_failing(self) -> bool:
        """Tell whether the last call failed."""
        return self._failing_since is not None

    @property
    def is_answering(self) -> bool:
        """Tell whether the store has answered, the last call included."""
        return self._has_answered and not self.is_failing

    @property
    def has_answered(self) -> bool:
        """Tell whether the store has ever answered."""
        return self._has_answered

    def note_answer(self) -> float:
        """Record an answer; return how long calls failed before, in seconds."""
        now = self._clock.monotonic()
        failing_s: float = 0
        if self._failing_since is not None:
            failing_s = now - self._failing_since
            log_event(
                'store regained',
                table=self._table,
                outage_s=round(failing_s, 3),
            )
        self._failing_since = None
        self.cause = ''
        self._answered_at = now
        self._has_answered = True
        return failing_s

    def note_failure(self, error: FeedError) -> None:
        """Record a failed call; the first one of an outage is logged."""
        self.cause = str(error)
        if self._failing_since is not None:
            return
        self._failing_since = self._answered_at
        log_event(
            'store lost',
            logging.WARNING,
            table=self._table,
            cause=str(error),
            age_s=round(self.age_s, 3),
        )
