"""Formatting of tables as declarations, the reverse of reading them."""

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
    'witness',
)


def format_fields(row: Row) -> dict[str, str]:
    """Return a row's fields in the text form of INI files.

    Fields that are None are left out.

    >>> from crocusshunt.routing import Customer
    >>> format_fields(Customer('court', rate=20.0, burst=40))['burst']
    '40'
    """
    fields = msgspec.json.decode(encode_row(row), type=dict[str, Any])
    return {
        name: _format_value(content)
        for name, content in fields.items()
        if content is not None
    }


def format_declarations(tables: Tables) -> Mapping[str, str]:
    """Return the text of one INI file per non-empty table, by file name.

    Only the tables in ``DECLARED_TABLES`` are included: keys and operators
    are not declared in files.

    >>> from crocusshunt.routing import Pool
    >>> print(format_declarations(Tables().put(Pool('verify')))['pool.ini'])
    [pool verify]
    <BLANKLINE>
    """
    return {
        f'{table}.ini': '\n'.join(_format_rows(table, tables.rows[table]))
        for table in DECLARED_TABLES
        if tables.rows.get(table)
    }


def _format_rows(table: str, rows: Mapping[str, Row]) -> Iterator[str]:
    for name in sorted(rows):
        yield f'[{table} {name}]'
        for field, text in sorted(format_fields(rows[name]).items()):
            if field != 'name':
                yield f'{field} = {text}'
        yield ''


def _format_value(content: Any) -> str:
    if isinstance(content, list):
        return ', '.join(content)
    if isinstance(content, bool):
        return 'true' if content else 'false'
    return str(content)
