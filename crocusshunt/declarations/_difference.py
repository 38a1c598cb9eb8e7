"""Difference between the tables in force and those declared."""

from collections.abc import Iterable, Iterator

from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.routing import Tables


def compare_tables(
    held: Tables,
    wanted: Tables,
    tables: Iterable[str],
) -> tuple[EditRequest, ...]:
    """Return the edits that turn the held tables into the wanted ones.

    :param tables: names of the tables that the declarations own; rows of
        others are left as they are.

    >>> from crocusshunt.routing import Pool
    >>> wanted = Tables().put(Pool('verify'))
    >>> [edit.name for edit in compare_tables(Tables(), wanted, ('pool',))]
    ['verify']
    """
    return tuple(
        edit for table in tables for edit in _compare(held, wanted, table)
    )


def _compare(held: Tables, wanted: Tables, table: str) -> Iterator[EditRequest]:
    before = held.rows.get(table, {})
    after = wanted.rows.get(table, {})
    for name in sorted(set(before) - set(after)):
        yield EditRequest(table, name, None)
    for name in sorted(after):
        if before.get(name) != after[name]:
            yield EditRequest(table, name, encode_row(after[name]))
