"""A process's copy of a table."""

from crocusshunt.feeds._rows import Changes, Row


class TableImage:
    """Copy of a table, whose version never decreases.

    ``version`` is that of the store when the copy was last updated, -1 before
    the first time. Some rows may be newer, if the table was read in pages.
    ``revision`` counts the updates that changed rows.

    >>> image = TableImage()
    >>> image.replace(Changes((Row('a', b'1', 3),), 5))
    (Row(key='a', content=b'1', version=3, is_removed=False),)
    >>> image.merge(Changes((Row('a', b'', 7, is_removed=True),), 8))
    (Row(key='a', content=b'', version=7, is_removed=True),)
    >>> image.version, image.changed_at, image.rows
    (8, 7, {})
    """

    def __init__(self) -> None:
        """Start without rows."""
        self.rows: dict[str, Row] = {}
        self.version = -1
        self.revision = 0
        self._newest_change = 0

    @property
    def changed_at(self) -> int:
        """Return the version of the last change with none missing before."""
        return min(self._newest_change, max(0, self.version))

    @property
    def is_known(self) -> bool:
        """Tell whether the table was read at least once."""
        return self.version >= 0

    def replace(self, changes: Changes) -> tuple[Row, ...]:
        """Replace all rows; return those that were changed or removed.

        An older version is ignored.
        """
        if changes.version < self.version:
            return ()
        rows = {row.key: row for row in changes.rows}
        removed = tuple(
            Row(row.key, b'', changes.version, is_removed=True)
            for key, row in self.rows.items()
            if key not in rows
        )
        changed = tuple(row for row in changes.rows if self._is_change(row))
        self.rows = rows
        self._advance(changes.version, (*changed, *removed))
        return (*changed, *removed)

    def merge(self, changes: Changes) -> tuple[Row, ...]:
        """Apply changes in order; return those that were new.

        An answer may be overtaken by a newer copy of the table from a peer. Its
        changes to rows that were removed in the meantime must not restore them.
        """
        changed_rows = tuple(
            row
            for row in changes.rows
            if row.version > self.version and self._apply(row)
        )
        self._advance(changes.version, changed_rows)
        return changed_rows

    def export(self) -> Changes:
        """Return all rows, for another process."""
        return Changes(tuple(self.rows.values()), self.changed_at)

    def _apply(self, row: Row) -> bool:
        """Apply one change; return whether it was new.

        One answer may write a row and remove it again, so each change is
        compared with the rows as the changes before it left them.
        """
        if not self._is_change(row):
            return False
        if row.is_removed:
            self.rows.pop(row.key)
        else:
            self.rows[row.key] = row
        return True

    def _is_change(self, row: Row) -> bool:
        known = self.rows.get(row.key)
        if known is None:
            return not row.is_removed
        return row.version > known.version

    def _advance(self, version: int, changed_rows: tuple[Row, ...]) -> None:
        self.version = max(self.version, version)
        self.revision += bool(changed_rows)
        versions = (row.version for row in changed_rows)
        self._newest_change = max((self._newest_change, *versions))
