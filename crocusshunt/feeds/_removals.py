"""Removals of rows that are deferred after an outage of the store."""

from crocusshunt.core import Clock
from crocusshunt.feeds._rows import Row


class DeferredRemovals:
    """Holds removals back for some time after an outage.

    The owners of rows that expired in the outage may write them again; such a
    row is not removed.

    >>> from crocusshunt.core import ManualClock
    >>> clock = ManualClock()
    >>> removals = DeferredRemovals(clock)
    >>> removals.defer_until(2)
    >>> removals.filter((Row('a', b'', 5, is_removed=True),))
    ()
    >>> clock.advance(2)
    >>> [row.key for row in removals.filter(())]
    ['a']
    """

    def __init__(self, clock: Clock) -> None:
        """Start without deferred removals."""
        self._clock = clock
        self._until: float = 0
        self._rows: dict[str, Row] = {}

    def defer_until(self, until: float) -> None:
        """Hold back the removals that come from now on.

        :param until: when they are due, monotonic seconds.
        """
        self._until = until

    def filter(self, changed_rows: tuple[Row, ...]) -> tuple[Row, ...]:
        """Return the changes to pass on now, with removals that are due."""
        for changed_row in changed_rows:
            self._rows.pop(changed_row.key, None)
        if self._clock.monotonic() < self._until:
            removed = {row.key: row for row in changed_rows if row.is_removed}
            self._rows.update(removed)
            return tuple(row for row in changed_rows if not row.is_removed)
        due = tuple(self._rows.values())
        self._rows = {}
        return (*changed_rows, *due)

    def limit_wait(self, wait_s: float) -> float:
        """Shorten a wait that would end after deferred removals are due.

        :param wait_s: in seconds.
        """
        if not self._rows:
            return wait_s
        return min(wait_s, max(0, self._until - self._clock.monotonic()))
