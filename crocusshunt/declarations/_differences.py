"""Differences between the tables in force and the declared tables."""

from collections.abc import Iterable, Iterator

from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.routing import Tables


def compare_tables(
    current: Tables,
    desired: Tables,
    tables: Iterable[str],
) -> tuple[EditRequest, ...]:
    """Return the edits that turn the current tables into the desired ones.

    :param current: the tables in force.
    :param desired: the declared tables.
    :param tables: names of the tables to compare; rows of other tables are
        not edited.

    >>> from crocusshunt.routing import Pool
    >>> desired = Tables().put(Pool('verify'))
    >>> [edit.name for edit in compare_tables(Tables(), desired, ('pool',))]
    ['verify']
    """
    return tuple(
        edit for table in tables for edit in _compare(current, desired, table)
    )


def _compare(
    current: Tables, desired: Tables, table: str
) -> Iterator[EditRequest]:
    before = current.rows.get(table, {})
    after = desired.rows.get(table, {})
    for name in sorted(set(before) - set(after)):
        yield EditRequest(table, name, None)
    for name in sorted(after):
        if before.get(name) != after[name]:
            yield EditRequest(table, name, encode_row(after[name]))
