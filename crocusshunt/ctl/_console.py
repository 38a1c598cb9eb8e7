"""The operator's terminal."""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, TextIO

import msgspec

_GAP = '  '


@dataclass(frozen=True, slots=True)
class Console:
    """Where a command writes and asks.

    :param output: takes the outcome.
    :param progress: takes progress and questions.
    :param answers: gives the operator's answers.
    :param is_interactive: whether somebody is there to answer.
    :param is_json: whether the outcome is written as JSON.
    """

    output: TextIO = field(default_factory=lambda: sys.stdout)
    progress: TextIO = field(default_factory=lambda: sys.stderr)
    answers: TextIO = field(default_factory=lambda: sys.stdin)
    is_interactive: bool = False
    is_json: bool = False

    def show(self, document: Any, lines: Iterable[str]) -> None:
        """Write an outcome, as one JSON line or as text.

        :param document: the outcome as data.
        :param lines: the outcome for people.
        """
        if self.is_json:
            lines = (msgspec.json.encode(document).decode(),)
        for line in lines:
            self.output.write(f'{line}\n')
        self.output.flush()

    def note(self, line: str) -> None:
        """Write a line of progress, which is no part of the outcome."""
        self.progress.write(f'{line}\n')
        self.progress.flush()

    def confirm(self, question: str) -> bool:
        """Ask a question; only ``yes`` is a yes."""
        self.progress.write(f'{question} Type yes to go on: ')
        self.progress.flush()
        return self.answers.readline().strip() == 'yes'


def format_table(
    titles: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> tuple[str, ...]:
    """Return the lines of a table with aligned columns.

    >>> format_table(('NAME', 'RATE'), [('court', 20)])
    ('NAME   RATE', 'court  20')
    """
    texts = [tuple(titles), *(tuple(map(str, row)) for row in rows)]
    widths = [
        max(len(text[column]) for text in texts)
        for column in range(len(titles))
    ]
    return tuple(
        _GAP.join(
            cell.ljust(width) for cell, width in zip(text, widths, strict=True)
        ).rstrip()
        for text in texts
    )
