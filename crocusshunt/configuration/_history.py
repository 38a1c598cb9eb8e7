"""Recent changes kept in memory, to serve followers."""

from collections import deque

from result import Err, Ok, Result

from crocusshunt.configuration._changes import (
    Change,
    Configuration,
    apply_change,
)
from crocusshunt.configuration._errors import (
    ConfigurationError,
    InvalidChangeError,
    MissingHistoryError,
)

KEPT_CHANGES = 1024


class History:
    """The configuration in force and the changes that led to it.

    The revision never falls: changes only append, and a snapshot replaces
    the configuration only by a newer one.
    """

    def __init__(self) -> None:
        """Start before the first revision."""
        self._changes: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.configuration = Configuration()

    def append(
        self,
        change: Change,
    ) -> Result[None, ConfigurationError | InvalidChangeError]:
        """Apply the next change; one already applied is passed over."""
        if change.revision <= self.configuration.revision:
            return Ok(None)
        applied = apply_change(self.configuration, change)
        if isinstance(applied, Err):
            return applied
        self.configuration = applied.ok_value
        self._changes.append(change)
        return Ok(None)

    def install(self, snapshot: Configuration) -> None:
        """Replace the configuration by a newer snapshot."""
        if snapshot.revision > self.configuration.revision:
            self.configuration = snapshot
            self._changes.clear()

    def list_changes_after(
        self,
        revision: int,
    ) -> Result[tuple[Change, ...], MissingHistoryError]:
        """Return the changes after a revision, oldest first.

        :param revision: revision that the follower holds.
        """
        oldest = self.configuration.revision - len(self._changes)
        if revision < oldest:
            return Err(MissingHistoryError(oldest))
        return Ok(
            tuple(
                change for change in self._changes if change.revision > revision
            ),
        )
