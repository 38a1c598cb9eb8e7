"""Input from and output to the operator's terminal."""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, TextIO

import msgspec

_COLUMN_GAP = '  '


@dataclass(frozen=True, slots=True)
class Console:
    """Streams that a command writes to and reads answers from.

    :param output: stream for the outcome, by default standard output.
    :param progress: stream for progress and questions, by default standard
        error.
    :param answers: stream of the operator's answers, by default standard
        input.
    :param is_interactive: whether an operator can answer questions.
    :param is_json: whether the outcome is written as JSON.
    """

    output: TextIO = field(default_factory=lambda: sys.stdout)
    progress: TextIO = field(default_factory=lambda: sys.stderr)
    answers: TextIO = field(default_factory=lambda: sys.stdin)
    is_interactive: bool = False
    is_json: bool = False

    def write_outcome(self, document: Any, lines: Iterable[str]) -> None:
        """Write the outcome of a command, as one line of JSON or as text.

        :param document: the outcome to encode as JSON.
        :param lines: the outcome as lines of text.
        """
        if self.is_json:
            lines = (msgspec.json.encode(document).decode(),)
        for line in lines:
            self.output.write(f'{line}\n')
        self.output.flush()

    def write_progress(self, line: str) -> None:
        """Write a progress line, which is not part of the outcome."""
        self.progress.write(f'{line}\n')
        self.progress.flush()

    def confirm(self, question: str) -> bool:
        """Ask for confirmation; only the answer ``yes`` confirms."""
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
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(text, widths, strict=True)
        ).rstrip()
        for text in texts
    )
