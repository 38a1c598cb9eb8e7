"""Registry of the tables that make up a configuration."""

from collections.abc import Callable
from typing import Protocol, TypeVar


class Row(Protocol):
    """A row of a table, identified by its name."""

    @property
    def name(self) -> str:
        """Return the row's name, unique in its table."""


_RowType = TypeVar('_RowType', bound=type[Row])
_ROW_TYPES: dict[str, type[Row]] = {}
_TABLES: dict[type[Row], str] = {}


def register_table(table: str) -> Callable[[_RowType], _RowType]:
    """Return a decorator that registers a data class as a table's row type.

    :param table: name of the table.
    """

    def register(row_class: _RowType) -> _RowType:
        _ROW_TYPES[table] = row_class
        _TABLES[row_class] = table
        return row_class

    return register


def is_table(table: str) -> bool:
    """Tell whether a table of this name is registered."""
    return table in _ROW_TYPES


def find_row_type(table: str) -> type[Row]:
    """Return the row type of a table.

    :param table: name of a registered table.
    """
    return _ROW_TYPES[table]


def list_tables() -> tuple[str, ...]:
    """Return the names of all registered tables, sorted."""
    return tuple(sorted(_ROW_TYPES))


def find_table(row_class: type[Row]) -> str:
    """Return the name of the table whose rows have this type.

    :param row_class: a registered row type.
    """
    return _TABLES[row_class]


def find_row_table(row: Row) -> str:
    """Return the name of the table that a row belongs to.

    :param row: a row of a registered type.
    """
    return find_table(type(row))
