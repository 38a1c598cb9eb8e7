"""The role that a change requires, and checks of the operator table."""

from collections.abc import Iterable, Iterator
from typing import Protocol

from crocusshunt.core import Fault
from crocusshunt.keys import Key
from crocusshunt.operators._roles import Operator, Role
from crocusshunt.routing import Tables, register_check

_ADMINISTRATOR_TABLES = frozenset(('operator',))


class RowEdit(Protocol):
    """An edit of a row; only its table decides which role it requires."""

    @property
    def table(self) -> str:
        """Return the name of the row's table."""


def find_needed_role(edits: Iterable[RowEdit]) -> Role:
    """Return the least role that may propose a change with these edits.

    Edits of the operator table require the role administer.

    :param edits: all edits of one change.

    >>> find_needed_role(()).value
    'operate'
    """
    tables = {edit.table for edit in edits}
    if tables & _ADMINISTRATOR_TABLES:
        return Role.administer
    return Role.operate


@register_check
def _check_administrator(tables: Tables) -> Iterator[Fault]:
    operators = tables.select(Operator)
    roles = {operator.role for operator in operators}
    if operators and Role.administer not in roles:
        yield Fault(
            'operator',
            'nobody could administer any more',
            'at least one operator with the role administer',
        )


@register_check
def _check_separate_keys(tables: Tables) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for row, digest in _list_digests(tables):
        owner = owners.setdefault(digest, row)
        if owner != row:
            yield Fault(row, f'has the same key as {owner}', 'its own key')


def _list_digests(tables: Tables) -> Iterator[tuple[str, str]]:
    for key in tables.select(Key):
        yield f'key {key.name}', key.digest
    for operator in tables.select(Operator):
        yield f'operator {operator.name}', operator.digest
