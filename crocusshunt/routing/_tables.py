"""Immutable set of configuration tables."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar, cast

from crocusshunt.routing._registry import Row, find_row_table, find_table

_RowType = TypeVar('_RowType', bound=Row)


@dataclass(frozen=True, slots=True)
class Tables:
    """All rows of a configuration, by table and name.

    >>> from crocusshunt.routing import Pool
    >>> tables = Tables().put(Pool('verify'))
    >>> tables.find(Pool, 'verify')
    Pool(name='verify')
    """

    rows: Mapping[str, Mapping[str, Row]] = field(default_factory=dict)

    def put(self, *rows: Row) -> 'Tables':
        """Return a copy of the tables with rows added or replaced.

        :param rows: rows of registered types.
        """
        tables = {
            table: dict(rows_by_name)
            for table, rows_by_name in self.rows.items()
        }
        for row in rows:
            tables.setdefault(find_row_table(row), {})[row.name] = row
        return Tables(tables)

    def remove(self, table: str, names: Iterable[str]) -> 'Tables':
        """Return a copy of the tables without some rows.

        :param table: name of the table.
        :param names: names of the rows; absent ones are ignored.
        """
        tables = dict(self.rows)
        removed = frozenset(names)
        tables[table] = {
            name: row
            for name, row in self.rows.get(table, {}).items()
            if name not in removed
        }
        return Tables(tables)

    def find(self, row_class: type[_RowType], name: str) -> _RowType | None:
        """Return the row with a type and a name, or None if there is none."""
        row = self.rows.get(find_table(row_class), {}).get(name)
        return cast(_RowType | None, row)

    def select(self, row_class: type[_RowType]) -> tuple[_RowType, ...]:
        """Return all rows of a type, sorted by name."""
        rows_by_name = self.rows.get(find_table(row_class), {})
        return tuple(
            cast(_RowType, rows_by_name[name]) for name in sorted(rows_by_name)
        )
