"""Registry of the rules that find the consequences of a change."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from crocusshunt.routing import Row, Tables


class Severity(str, Enum):
    """Whether an operator is asked before the change is proposed."""

    notice = 'notice'
    danger = 'danger'


@dataclass(frozen=True, slots=True, order=True)
class Consequence:
    """One effect of a change.

    :param place: table and row that cause it.
    :param effect: what callers or backend servers will see.
    :param promise: which promise it would break; empty if none.
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


def rule(function: Rule) -> Rule:
    """Register a rule; a decorator for functions of the tables.

    :param function: yields the consequences of going from the first tables
        to the second.
    """
    _RULES.append(function)
    return function


def find_consequences(held: Tables, wanted: Tables) -> tuple[Consequence, ...]:
    """Return every consequence that any rule finds, dangers first.

    :param held: the tables in force.
    :param wanted: the tables that the change would put in force.

    >>> from crocusshunt.routing import Customer
    >>> held = Tables().put(Customer('court', rate=20, burst=40))
    >>> wanted = Tables().put(Customer('court', rate=5, burst=40))
    >>> find_consequences(held, wanted)[0].effect
    'its rate falls from 20 to 5 requests a second'
    """
    found = {one for each in _RULES for one in each(held, wanted)}
    return tuple(
        sorted(found, key=lambda one: (one.severity, one)),
    )


def pair_rows(
    held: Tables,
    wanted: Tables,
    row_class: type[_RowType],
) -> Iterator[tuple[_RowType, _RowType | None]]:
    """Yield each held row with the row that replaces it, None if none."""
    for row in held.select(row_class):
        replacement = wanted.find(row_class, row.name)
        if replacement != row:
            yield row, replacement


def warn(place: str, effect: str, promise: str = '') -> Consequence:
    """Return a consequence that needs an operator's confirmation."""
    return Consequence(place, effect, promise, Severity.danger)
