"""Declarations as INI files: the reverse of reading a directory."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from crocusshunt.configuration import encode_row
from crocusshunt.routing import Row, Tables

DECLARED_TABLES = (
    'block',
    'customer',
    'failure_domain',
    'link',
    'pool',
    'route',
    'server',
)


def write_fields(row: Row) -> dict[str, str]:
    """Return a row's fields as an INI file holds them.

    >>> from crocusshunt.routing import Customer
    >>> write_fields(Customer('court', rate=20.0, burst=40))['burst']
    '40'
    """
    fields = msgspec.json.decode(encode_row(row), type=dict[str, Any])
    return {
        name: _write_field(content)
        for name, content in fields.items()
        if content is not None
    }


def write_declarations(tables: Tables) -> Mapping[str, str]:
    """Return the text of one file for each declared table, by file name.

    Keys and operators are not declared in files and are left out.

    >>> from crocusshunt.routing import Pool
    >>> print(write_declarations(Tables().put(Pool('verify')))['pool.ini'])
    [pool verify]
    <BLANKLINE>
    """
    return {
        f'{table}.ini': '\n'.join(_write_rows(table, tables.rows[table]))
        for table in DECLARED_TABLES
        if tables.rows.get(table)
    }


def _write_rows(table: str, rows: Mapping[str, Row]) -> Iterator[str]:
    for name in sorted(rows):
        yield f'[{table} {name}]'
        for field, text in sorted(write_fields(rows[name]).items()):
            if field != 'name':
                yield f'{field} = {text}'
        yield ''


def _write_field(content: Any) -> str:
    if isinstance(content, list):
        return ', '.join(content)
    if isinstance(content, bool):
        return 'true' if content else 'false'
    return str(content)
