"""Roles that changes need, and checks of the operator table."""

from collections.abc import Iterable, Iterator
from typing import Protocol

from crocusshunt.core import Fault
from crocusshunt.keys import Key
from crocusshunt.operators._roles import Operator, Role
from crocusshunt.routing import Tables, register_check

_ADMINISTERED_TABLES = frozenset(('operator',))


class Edited(Protocol):
    """An edit of a row, of which only the table matters here."""

    @property
    def table(self) -> str:
        """Return the name of the table."""


def find_needed_role(edits: Iterable[Edited]) -> Role:
    """Return the least role whose operator may propose some edits.

    :param edits: all edits of one change.

    >>> find_needed_role(()).value
    'operate'
    """
    tables = {edit.table for edit in edits}
    if tables & _ADMINISTERED_TABLES:
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
    for place, digest in _list_digests(tables):
        owner = owners.setdefault(digest, place)
        if owner != place:
            yield Fault(place, f'has the same key as {owner}', 'its own key')


def _list_digests(tables: Tables) -> Iterator[tuple[str, str]]:
    for key in tables.select(Key):
        yield f'key {key.name}', key.digest
    for operator in tables.select(Operator):
        yield f'operator {operator.name}', operator.digest
