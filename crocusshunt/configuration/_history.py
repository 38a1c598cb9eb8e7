"""Recent changes kept in memory for processes that follow this one."""

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

MAX_KEPT_CHANGES = 1024


class History:
    """The configuration in force and the most recent changes before it.

    The revision never decreases: a change must continue the current
    revision, and a snapshot is installed only if it is newer.
    """

    def __init__(self) -> None:
        """Start with an empty configuration, at revision 0."""
        self._changes: deque[Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self.configuration = Configuration()

    def append(
        self,
        change: Change,
    ) -> Result[None, ConfigurationError | InvalidChangeError]:
        """Apply the next change; ignore one that is already applied."""
        if change.revision <= self.configuration.revision:
            return Ok(None)
        applied = apply_change(self.configuration, change)
        if isinstance(applied, Err):
            return applied
        self.configuration = applied.ok_value
        self._changes.append(change)
        return Ok(None)

    def install(self, snapshot: Configuration) -> None:
        """Replace the configuration if the snapshot is newer.

        This clears the kept changes, since they lead to an older revision.
        """
        if snapshot.revision > self.configuration.revision:
            self.configuration = snapshot
            self._changes.clear()

    def list_changes_after(
        self,
        revision: int,
    ) -> Result[tuple[Change, ...], MissingHistoryError]:
        """Return the changes after a revision, oldest first.

        :param revision: revision that the follower has applied.
        """
        oldest = self.configuration.revision - len(self._changes)
        if revision < oldest:
            return Err(MissingHistoryError(oldest))
        return Ok(
            tuple(
                change for change in self._changes if change.revision > revision
            ),
        )
