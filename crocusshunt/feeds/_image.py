"""What one process knows of a table."""

from crocusshunt.feeds._values import Changes, Row


class TableImage:
    """Rows of a table, which only move forward in version.

    >>> image = TableImage()
    >>> image.replace(Changes((Row('a', b'1', 3),), 5))
    (Row(key='a', content=b'1', version=3, is_removed=False),)
    >>> image.merge(Changes((Row('a', b'', 7, is_removed=True),), 8))
    (Row(key='a', content=b'', version=7, is_removed=True),)
    >>> image.version, image.changed_at, image.rows
    (8, 7, {})
    """

    def __init__(self) -> None:
        """Start without rows, before the first version."""
        self.rows: dict[str, Row] = {}
        self.version = -1
        self.changed_at = 0

    @property
    def is_known(self) -> bool:
        """Tell whether the table was read at least once."""
        return self.version >= 0

    def replace(self, changes: Changes) -> tuple[Row, ...]:
        """Take a whole table; return the rows that changed or went."""
        if changes.version < self.version:
            return ()
        found = {row.key: row for row in changes.rows}
        gone = tuple(
            Row(row.key, b'', changes.version, is_removed=True)
            for key, row in self.rows.items()
            if key not in found
        )
        changed = tuple(row for row in changes.rows if self._is_news(row))
        self.rows = found
        self._advance(changes.version, (*changed, *gone))
        return (*changed, *gone)

    def merge(self, changes: Changes) -> tuple[Row, ...]:
        """Take changes in order; return those that are news.

        An answer may have been under way while a newer image came: what it
        tells of rows that are gone by now must not bring them back.
        """
        news = tuple(
            row
            for row in changes.rows
            if row.version > self.version and self._apply(row)
        )
        self._advance(changes.version, news)
        return news

    def export(self) -> Changes:
        """Return the whole table, for another process."""
        return Changes(tuple(self.rows.values()), self.changed_at)

    def _apply(self, row: Row) -> bool:
        """Apply one change; return whether it was news.

        One answer may write a row and remove it again, so each change is
        judged by what those before it left.
        """
        if not self._is_news(row):
            return False
        if row.is_removed:
            self.rows.pop(row.key)
        else:
            self.rows[row.key] = row
        return True

    def _is_news(self, row: Row) -> bool:
        known = self.rows.get(row.key)
        if known is None:
            return not row.is_removed
        return row.version > known.version

    def _advance(self, version: int, news: tuple[Row, ...]) -> None:
        self.version = max(self.version, version)
        versions = (row.version for row in news)
        self.changed_at = max((self.changed_at, *versions))
