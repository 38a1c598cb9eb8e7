"""Registry of commands and their exit statuses."""

import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum
from pathlib import Path
from typing import Any

from crocusshunt.client import OperatorClient
from crocusshunt.core import Clock, IdentifierGenerator, SystemClock
from crocusshunt.ctl._console import Console

Arguments = Mapping[str, Any]


class ExitStatus(IntEnum):
    """Exit statuses, as written in the program's help."""

    done = 0
    refused = 1
    wrong_input = 2
    unknown = 3
    unconfirmed = 4


@dataclass(frozen=True, slots=True)
class CommandEnvironment:
    """What a command takes from outside.

    :param identifiers: source of change ids.
    """

    console: Console
    identifiers: IdentifierGenerator = field(
        default_factory=IdentifierGenerator
    )
    clock: Clock = field(default_factory=SystemClock)


@dataclass(frozen=True, slots=True)
class Context:
    """What a command works with."""

    arguments: Arguments
    client: OperatorClient
    environment: CommandEnvironment

    @property
    def console(self) -> Console:
        """Return the operator's terminal."""
        return self.environment.console


Command = Callable[[Context], Awaitable[ExitStatus]]
_COMMANDS: dict[tuple[str, ...], Command] = {}


def register_command(*words: str) -> Callable[[Command], Command]:
    """Return a decorator that registers a command by its words."""

    def register(function: Command) -> Command:
        _COMMANDS[words] = function
        return function

    return register


async def run_command(
    arguments: Arguments,
    environment: CommandEnvironment | None = None,
) -> int:
    """Run the command that the parsed command line names.

    :param arguments: result of docopt.
    :param environment: the process's own terminal if None.
    """
    client = OperatorClient(arguments['--api'], _read_key(arguments['--key']))
    given = environment or _create_surroundings()
    console = replace(given.console, is_json=bool(arguments['--json']))
    context = Context(arguments, client, replace(given, console=console))
    try:
        return await _find_command(arguments)(context)
    finally:
        await client.close()


def _create_surroundings() -> CommandEnvironment:
    is_interactive = sys.stdin.isatty() and sys.stderr.isatty()
    return CommandEnvironment(Console(is_interactive=is_interactive))


def _find_command(arguments: Arguments) -> Command:
    matching = [
        words
        for words in _COMMANDS
        if all(arguments.get(word) for word in words)
    ]
    return _COMMANDS[max(matching, key=len)]


def _read_key(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8').strip()
    except OSError:
        return ''
