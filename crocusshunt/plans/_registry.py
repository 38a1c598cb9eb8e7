"""Registry of the rules that find the consequences of a change."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from crocusshunt.routing import Row, Tables


class Severity(str, Enum):
    """Severity of a consequence; an operator must confirm a ``danger``."""

    notice = 'notice'
    danger = 'danger'


@dataclass(frozen=True, slots=True, order=True)
class Consequence:
    """One effect of a configuration change.

    :param place: table and row that cause the effect.
    :param effect: what will change for callers, operators or backend
        servers.
    :param promise: promise of the system that it would break; empty if none.
    :param severity: whether an operator must confirm the change.
    """

    place: str
    effect: str
    promise: str = ''
    severity: Severity = Severity.notice

    def __str__(self) -> str:
        """Return the consequence as one line for operators."""
        mark = '!' if self.severity is Severity.danger else ' '
        promise = f' [breaks: {self.promise}]' if self.promise else ''
        return f'{mark} {self.place}: {self.effect}{promise}'


Rule = Callable[[Tables, Tables], Iterable[Consequence]]
_RowType = TypeVar('_RowType', bound=Row)
_RULES: list[Rule] = []


def register_rule(finder: Rule) -> Rule:
    """Register a function that finds consequences; used as a decorator.

    :param finder: takes the current and the proposed tables and yields the
        consequences of the change.
    """
    _RULES.append(finder)
    return finder


def find_consequences(
    current: Tables, proposed: Tables
) -> tuple[Consequence, ...]:
    """Return the consequences that the registered rules find, dangers first.

    :param current: the tables in force.
    :param proposed: the tables with the change applied.

    >>> from crocusshunt.routing import Customer
    >>> current = Tables().put(Customer('court', rate=20, burst=40))
    >>> proposed = Tables().put(Customer('court', rate=5, burst=40))
    >>> find_consequences(current, proposed)[0].effect
    'its rate falls from 20 to 5 requests a second'
    """
    found = {
        consequence
        for finder in _RULES
        for consequence in finder(current, proposed)
    }
    return tuple(
        sorted(
            found, key=lambda consequence: (consequence.severity, consequence)
        ),
    )


def pair_rows(
    current: Tables,
    proposed: Tables,
    row_class: type[_RowType],
) -> Iterator[tuple[_RowType, _RowType | None]]:
    """Yield each row that changes with its new row, None if it is removed."""
    for row in current.select(row_class):
        replacement = proposed.find(row_class, row.name)
        if replacement != row:
            yield row, replacement


def create_danger(place: str, effect: str, promise: str = '') -> Consequence:
    """Return a consequence that an operator must confirm."""
    return Consequence(place, effect, promise, Severity.danger)
