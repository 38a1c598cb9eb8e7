"""Differences between configuration rows by field."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.routing import Tables


@dataclass(frozen=True, slots=True)
class FieldChange:
    """Value of one field before and after a change.

    :param field: name of the field.
    :param before: JSON text of the value before the change.
    :param after: JSON text of the value after the change.
    """

    field: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the change as shown to operators."""
        return f'{self.field} {self.before} -> {self.after}'


@dataclass(frozen=True, slots=True)
class RowChange:
    """One row that a change adds, changes or removes.

    :param action: ``add``, ``change`` or ``remove``.
    :param table: name of the row's table.
    :param name: name of the row.
    :param fields: fields that change; empty for an added or removed row.
    """

    action: str
    table: str
    name: str
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Return the change as one line for operators."""
        changes = ', '.join(str(field) for field in self.fields)
        line = f'{self.action:6} {self.table} {self.name}'
        return f'{line}: {changes}' if changes else line


def compare_rows(
    current: Tables,
    edits: Iterable[EditRequest],
) -> tuple[RowChange, ...]:
    """Return the rows that edits change in the tables in force.

    Edits that leave a row as it is are omitted.

    :param current: the tables in force.
    :param edits: the edits of the change.

    >>> from crocusshunt.routing import Pool
    >>> row = '{"name":"verify"}'
    >>> edit = EditRequest('pool', 'verify', row)
    >>> print(compare_rows(Tables(), (edit,))[0])
    add    pool verify
    >>> compare_rows(Tables().put(Pool('verify')), (edit,))
    ()
    """
    return tuple(_compare(current, edits))


def _compare(
    current: Tables,
    edits: Iterable[EditRequest],
) -> Iterator[RowChange]:
    for edit in edits:
        row = current.rows.get(edit.table, {}).get(edit.name)
        before = _decode(None if row is None else encode_row(row))
        if edit.row is None:
            yield RowChange('remove', edit.table, edit.name)
            continue
        fields = tuple(_compare_fields(before, _decode(edit.row)))
        if row is None:
            yield RowChange('add', edit.table, edit.name)
        elif fields:
            yield RowChange('change', edit.table, edit.name, fields)


def _compare_fields(
    before: dict[str, Any],
    after: dict[str, Any],
) -> Iterator[FieldChange]:
    for name in sorted(before.keys() | after.keys()):
        if before.get(name) != after.get(name):
            yield FieldChange(
                name,
                _encode(before.get(name)),
                _encode(after.get(name)),
            )


def _decode(row: str | None) -> dict[str, Any]:
    if row is None:
        return {}
    return msgspec.json.decode(row, type=dict[str, Any])


def _encode(content: Any) -> str:
    return msgspec.json.encode(content).decode()
